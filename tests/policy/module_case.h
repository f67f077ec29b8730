// Helpers for tests that drive the decision module by hand: a node with its clock and timers, and short forms
// of lists, requests and answers.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "policy/policy.h"

namespace shorelead {

constexpr Millis kTestPeriod = 1000;       // period of the module
constexpr Millis kTestProbeTimeout = 250;  // probe timeout of the module

inline RequestClass make_class(Effect effect, DedupGroup group = DedupGroup::kAll) {
  RequestClass c;
  c.effect = effect;
  c.group = group;
  c.dedup_window = 800;
  c.aim = 400;
  c.deadline = 1000;
  return c;
}

inline Settings plain_settings() {
  Settings s;
  s.instances = 1;
  s.classes = {make_class(Effect::kSafe), make_class(Effect::kUnsafe), make_class(Effect::kKeyed),
               make_class(Effect::kKeyed, DedupGroup::kZone)};
  s.max_attempts = 5;
  s.parallel_attempts = true;
  s.max_wait_advice = 500;
  s.advise_wait = true;
  s.warm_up = 10000;
  s.cold_share = 0.3;
  s.fall_multiple = 3;
  s.fall_span = 1000;
  return s;
}

// Drives one module as a host does: keeps the clock and fires timers when they are due.
class Node {
 public:
  explicit Node(const Settings& settings = plain_settings(), std::uint64_t seed = 1)
      : policy_(settings, seed) {
    feed(Started{});
  }

  std::vector<Action> feed(const Event& event) {
    std::vector<Action> actions;
    policy_.handle(event, now, actions);
    for (const Action& a : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&a)) timers_.insert({timer->at, timer->cookie});
      log.push_back(a);
    }
    return actions;
  }

  // Advances the clock and fires the timers that are due. Probes are answered after `probe_time`, where it is
  // set.
  void run_to(Millis until) {
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, cookie] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, at);
      answer_probes(feed(TimerFired{cookie}));
    }
    now = until;
  }

  // Advances to well after a round of probes, when the last reports have aged.
  void run_past_probes() {
    const int before = probes[0];
    while (probes[0] == before) run_to(now + 1);
    run_to(now + kTestProbeTimeout + 100);
  }

  // Answers the probes among the actions for which the test set a time. Returns the resulting actions.
  std::vector<Action> answer_probes(const std::vector<Action>& actions) {
    std::vector<Action> all;
    for (const Action& a : actions) {
      const auto* probe = std::get_if<SendProbe>(&a);
      if (probe == nullptr) continue;
      ++probes[probe->backend];
      const auto it = probe_time.find(probe->backend);
      if (it == probe_time.end()) continue;
      ProbeEnded ended;
      ended.backend = probe->backend;
      ended.elapsed = it->second;
      if (load.count(probe->backend) != 0) ended.has_report = true, ended.report = load[probe->backend];
      for (const Action& b : feed(ended)) all.push_back(b);
    }
    return all;
  }

  // The first `count` backends answer probes after `time` and report `in_hand` requests.
  void report_in_hand(BackendId count, double in_hand, Millis time = 1) {
    for (BackendId i = 0; i < count; ++i) probe_time[i] = time, load[i].in_hand = in_hand;
  }

  void list(std::vector<BackendEntry> entries, ListKind kind = ListKind::kFull) {
    feed(ListUpdate{kind, std::move(entries)});
  }

  std::vector<Action> arrive(RequestId id, int request_class = 0, int tenant = 0, Millis wait = 1000) {
    RequestArrived e;
    e.request = id;
    e.request_class = request_class;
    e.tenant = tenant;
    e.due = now + wait;
    std::vector<Action> actions = feed(e);
    for (const Action& a : answer_probes(actions)) actions.push_back(a);
    return actions;
  }

  std::vector<Action> end(RequestId id, BackendId backend, Outcome outcome, int attempt = 0,
                          Millis elapsed = 5) {
    AttemptEnded e;
    e.request = id;
    e.backend = backend;
    e.attempt = attempt;
    e.outcome = outcome;
    e.elapsed = elapsed;
    e.request_over = outcome == Outcome::kServed;
    e.has_report = answers_report;
    if (answers_report) e.report = load[backend];
    return feed(e);
  }

  Millis now = 1000;
  std::map<BackendId, Millis> probe_time;
  std::map<BackendId, LoadReport> load;
  bool answers_report = false;  // answers carry load reports too
  std::map<BackendId, int> probes;
  std::vector<Action> log;

 private:
  Policy policy_;
  std::multimap<Millis, std::uint64_t> timers_;
};

inline std::vector<BackendEntry> entries(int count) {
  std::vector<BackendEntry> list;
  for (int i = 0; i < count; ++i) {
    BackendEntry e;
    e.backend = static_cast<BackendId>(i);
    list.push_back(e);
  }
  return list;
}

template <typename T>
std::optional<T> only(const std::vector<Action>& actions) {
  std::optional<T> found;
  for (const Action& a : actions) {
    if (const auto* x = std::get_if<T>(&a)) {
      EXPECT_FALSE(found) << "more than one";
      found = *x;
    }
  }
  return found;
}

template <typename T>
bool none(const std::vector<Action>& actions) {
  return std::none_of(actions.begin(), actions.end(),
                      [](const Action& a) { return std::holds_alternative<T>(a); });
}

// Sends `count` requests that are served at once. Returns how many each backend got.
inline std::map<BackendId, int> spread(Node& node, int count) {
  std::map<BackendId, int> got;
  static RequestId next = 100000;
  for (int i = 0; i < count; ++i) {
    const RequestId id = next++;
    const auto sent = only<SendAttempt>(node.arrive(id));
    if (sent == std::nullopt) {
      ADD_FAILURE() << "not sent";
      break;
    }
    ++got[sent->backend];
    node.end(id, sent->backend, Outcome::kServed);
  }
  return got;
}

// The same after `periods` periods with constant probe times.
inline std::map<BackendId, int> spread_at(const std::map<BackendId, Millis>& probe_times, int count,
                                          int periods = 6) {
  Node node;
  node.list(entries(static_cast<int>(probe_times.size())));
  node.probe_time = probe_times;
  node.run_to(node.now + periods * kTestPeriod);
  return spread(node, count);
}

}  // namespace shorelead
