// What Policy::handle() costs by the number of backends: a request (its arrival and its attempts' ends), a
// probe's end, and the longest single call, which is how long a loop would be held. Backends are simulated in
// simulated time: answers come after a fixed time with a load report. Only the time inside handle() counts.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include "policy/policy.h"

namespace {

using namespace shorelead;

enum class Day {
  kCalm,     // every backend answers at once
  kFailing,  // one answer in ten is an error
  kCrowded,  // reports tell of more in hand than any backend could serve in time
};

constexpr double kRate = 2000;  // requests a second
constexpr Millis kService = 5;

class Host {
 public:
  Host(int backends, Day day) : day_(day), policy_(settings(), 7), random_(11) {
    ListUpdate list;
    for (int i = 0; i < backends; ++i) {
      BackendEntry entry;
      entry.backend = static_cast<BackendId>(i);
      entry.zone = i % 3;
      list.entries.push_back(entry);
    }
    feed(Started{}, nullptr);
    feed(list, nullptr);
  }

  // Plays so much simulated time, with kRate requests a second.
  void play(Millis span) {
    const Millis until = now_ + span;
    Millis next = now_;
    while (now_ < until) {
      while (!due_.empty() && due_.top().at <= next) {
        const Due due = due_.top();
        due_.pop();
        now_ = due.at;
        happen(due);
      }
      now_ = next;
      RequestArrived arrived;
      arrived.request = ++last_;
      arrived.due = now_ + 1000;
      ++requests;
      feed(arrived, &request_ns);
      next += 1000 / kRate;
    }
  }

  std::uint64_t requests = 0;
  std::uint64_t probes = 0;
  double request_ns = 0;
  double probe_ns = 0;
  double longest_ns = 0;
  double total_ns = 0;

 private:
  struct Due {
    enum Kind { kTimer, kAttempt, kProbe } kind;
    Millis at;
    std::uint64_t what;
    BackendId backend;
    int attempt;
    bool operator<(const Due& o) const { return at > o.at; }
  };

  static Settings settings() {
    Settings s;
    RequestClass c;
    c.effect = Effect::kSafe;
    c.aim = 400;
    c.deadline = 1000;
    s.classes = {c};
    s.instances = 1;
    s.max_attempts = 5;
    s.connect_timeout = 200;
    return s;
  }

  LoadReport report() {
    LoadReport load;
    load.in_hand = day_ == Day::kCrowded ? 400 : static_cast<double>(random_() % 2);
    load.waiting = day_ == Day::kCrowded ? 399 : 0;
    load.busy = 0.5;
    return load;
  }

  void happen(const Due& due) {
    if (due.kind == Due::kTimer) return feed(TimerFired{due.what}, nullptr);
    if (due.kind == Due::kProbe) {
      ++probes;
      ProbeEnded ended;
      ended.backend = due.backend;
      ended.elapsed = 1;
      ended.has_report = true;
      ended.report = report();
      return feed(ended, &probe_ns);
    }
    AttemptEnded ended;
    ended.request = static_cast<RequestId>(due.what);
    ended.backend = due.backend;
    ended.attempt = due.attempt;
    ended.elapsed = kService;
    const bool error = day_ == Day::kFailing && random_() % 10 == 0;
    ended.outcome = error ? Outcome::kError : Outcome::kServed;
    ended.request_over = !error;
    ended.has_report = true;
    ended.report = report();
    feed(ended, &request_ns);
  }

  void feed(const Event& event, double* sum) {
    actions_.clear();
    const auto from = std::chrono::steady_clock::now();
    policy_.handle(event, now_, actions_);
    const double took =
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count();
    total_ns += took;
    longest_ns = std::max(longest_ns, took);
    if (sum != nullptr) *sum += took;
    for (const Action& action : actions_) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        due_.push({Due::kAttempt, now_ + kService, send->request, send->backend, attempts_[send->request]++});
      } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
        due_.push({Due::kProbe, now_ + 1, 0, probe->backend, 0});
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        due_.push({Due::kTimer, timer->at, timer->cookie, 0, 0});
      }
    }
  }

  const Day day_;
  Policy policy_;
  std::mt19937_64 random_;
  Millis now_ = 1;
  RequestId last_ = 0;
  std::priority_queue<Due> due_;
  std::unordered_map<RequestId, int> attempts_;
  std::vector<Action> actions_;
};

void handle(benchmark::State& state, Day day) {
  Host host(static_cast<int>(state.range(0)), day);
  host.play(3000);
  host.requests = host.probes = 0;
  host.request_ns = host.probe_ns = host.longest_ns = 0;
  for (auto _ : state) {
    const double before = host.total_ns;
    host.play(200);
    state.SetIterationTime((host.total_ns - before) / 1e9);
  }
  state.counters["ns/request"] = host.request_ns / static_cast<double>(host.requests);
  if (host.probes > 0) state.counters["ns/probe"] = host.probe_ns / static_cast<double>(host.probes);
  state.counters["longest_us"] = host.longest_ns / 1e3;
}

void sizes(benchmark::internal::Benchmark* b) {
  b->Arg(10)->Arg(100)->Arg(1000)->Arg(5000)->Arg(20000)->UseManualTime()->Iterations(20)->Unit(
      benchmark::kMillisecond);
}

BENCHMARK_CAPTURE(handle, calm, Day::kCalm)->Apply(sizes);
BENCHMARK_CAPTURE(handle, failing, Day::kFailing)->Apply(sizes);
BENCHMARK_CAPTURE(handle, crowded, Day::kCrowded)->Apply(sizes);

}  // namespace
