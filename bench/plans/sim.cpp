#include "sim.h"

#include <cmath>

#include "backends.h"
#include "control.h"
#include "events.h"
#include "plans/stable_sample.h"
#include "process.h"
#include "tally.h"

namespace shorelead::plans::sim {
namespace {

class Play {
 public:
  Play(const Scenario& scenario, Way way, std::uint64_t seed, const CutOffSettings& settings)
      : scenario_(scenario),
        way_(way),
        random_(seed),
        backends_(scenario),
        control_(scenario, shaper_of(way, order().ranks(), settings, seed), order().ranks()) {
    for (int n = 0; n < scenario.processes; ++n) processes_.emplace_back(n, scenario, way, settings, seed);
  }

  Result run() {
    push(0, Kind::kArrive);
    push(50, Kind::kRoom);
    push(250, Kind::kLook);
    if (scenario_.restarts.to > 0) push(scenario_.restarts.from, Kind::kFault, 0, 0);
    for (int n = 0; n < scenario_.processes; ++n) push(1000 * random_.unit(), Kind::kReport, n);
    while (events_.any_before(scenario_.length)) {
      const Event event = events_.pop();
      now_ = std::max(now_, event.at);
      for (const Span& stall : scenario_.stalls) {
        if (stall.holds(now_)) now_ = stall.to;
      }
      handle(event);
    }
    return tally_.finish(processes_, way_);
  }

 private:
  void push(Millis at, Kind kind, int a = 0, int b = 0) { events_.push(at, kind, a, b); }
  Millis within(Millis from, Millis to) { return from + (to - from) * random_.unit(); }
  Request& request(int n) { return requests_[static_cast<std::size_t>(n)]; }
  Process& process(int n) { return processes_[static_cast<std::size_t>(n)]; }
  // When work of so long is done: all that stands still does not work.
  Millis after(Millis work) const {
    Millis end = now_ + work;
    for (const Span& stall : scenario_.stalls) {
      if (stall.from > now_ && stall.from < end) end += stall.to - stall.from;
    }
    return end;
  }

  void handle(const Event& e) {
    switch (e.kind) {
      case Kind::kArrive:
        return arrive(e.at);
      case Kind::kTry:
        return attempt(e.a, e.at);
      case Kind::kPass:
        return pass(e.a, e.b);
      case Kind::kDone:
        return done(e.a, e.b);
      case Kind::kDeadline:
        if (request(e.a).open && request(e.a).number == e.b) missed(e.a);
        return;
      case Kind::kReport:
        return report(e.a);
      case Kind::kRecord:
        return control_.arrived(e.a, e.b, now_);
      case Kind::kLook:
        return look();
      case Kind::kPlan:
        return plan_in(e.a, e.b);
      case Kind::kRoom:
        return rooms();
      case Kind::kFault:
        return fault(e.a, e.b);
    }
  }

  void arrive(Millis at) {
    Request r{};
    const double which = random_.unit();
    r.plan = which < kShares[0] ? 0 : which < kShares[0] + kShares[1] ? 1 : 2;
    r.request_class = random_.unit() < kBetter ? 1 : 0;
    r.last_pool = random_.unit() < 0.25;
    const std::string key = std::to_string(random_.below(kKeys));
    r.coin = stable_sample(kTenants[r.plan], key, at);
    requests_.push_back(r);
    tally_.came(r);
    attempt(static_cast<int>(requests_.size()) - 1, at);
    const double rate = scenario_.load(at) * scenario_.backends * scenario_.slots / scenario_.service;
    push(at - std::log(1 - random_.unit()) / rate, Kind::kArrive);
  }

  void attempt(int n, Millis came) {
    Request& r = request(n);
    do {
      r.process = static_cast<int>(random_.below(processes_.size()));
      if (scenario_.hot.holds(now_) && random_.unit() < 0.33) r.process = 0;
    } while (!process(r.process).alive);
    Process& p = process(r.process);
    r.incarnation = p.incarnation;
    r.came = came;
    r.open = true;
    ++r.number;
    const Verdict verdict = p.admit(r.plan, r.request_class, r.coin, now_);
    tally_.tried(r, verdict, now_);
    if (!verdict.taken()) {
      r.open = false;
      repeat(n, verdict.retry_after);
      return;
    }
    push(came + kDeadline, Kind::kDeadline, n, r.number);
    if (p.free_at - now_ > kBacklog) return missed(n);
    const bool hot = scenario_.hot.holds(now_) && r.process == 0;
    p.free_at = std::max(p.free_at, now_) + (hot ? kHotPass : kPass);
    push(p.free_at, Kind::kPass, n, r.number);
  }

  void pass(int n, int number) {
    Request& r = request(n);
    if (!r.open || r.number != number) return;
    if (process(r.process).incarnation != r.incarnation) return missed(n);
    const int zone = scenario_.own_zone ? r.process % scenario_.zones : -1;
    for (int tries = 0; tries < 2; ++tries) {
      bool starts = false;
      r.backend = backends_.choose(zone, r.last_pool, random_, now_);
      if (r.backend < 0 || !backends_.take(r.backend, n, now_, starts)) continue;
      if (starts) push(after(backends_.work(r.backend, random_, now_)), Kind::kDone, n, r.backend);
      return;
    }
    missed(n);
  }

  void done(int n, int backend) {
    Request& r = request(n);
    const bool lost = backends_.dead(backend, now_) || process(r.process).incarnation != r.incarnation;
    if (r.open && r.backend == backend) {
      if (lost) {
        missed(n);
      } else {
        answered(n);
      }
    }
    // A try that was given up while it waited is not worked on.
    const int next = backends_.next(
        backend, [&](int other) { return !request(other).open || request(other).backend != backend; });
    if (next >= 0) push(after(backends_.work(backend, random_, now_)), Kind::kDone, next, backend);
  }

  void answered(int n) {
    Request& r = request(n);
    r.open = false;
    const bool in_time = now_ - r.came <= kAim;
    process(r.process).ended(order().rank_of(r.plan, r.request_class), in_time);
    tally_.answered(r, in_time);
  }

  void missed(int n) {
    Request& r = request(n);
    r.open = false;
    Process& p = process(r.process);
    if (p.incarnation == r.incarnation) p.ended(order().rank_of(r.plan, r.request_class), false);
    repeat(n, within(100, 300) * (1 << r.tries));
  }

  void repeat(int n, Millis wait) {
    Request& r = request(n);
    if (r.tries >= kRepeats || random_.unit() >= kRepeatsAgain) return;
    ++r.tries;
    push(now_ + wait, Kind::kTry, n);
  }

  bool away() const { return scenario_.store_away.holds(now_); }
  void report(int n) {
    push(now_ + 1000, Kind::kReport, n);
    Process& p = process(n);
    if (!p.alive) return;
    const fleet::Record own = p.report(random_);
    if (!away() && way_ != Way::kAlone) {
      p.valid_until = now_ + kValid;
      push(now_ + within(50, 300), Kind::kRecord, n, control_.sent(p.told_of(own)));
    }
    p.sheds(own, now_);
  }

  void look() {
    push(now_ + 500, Kind::kLook);
    if (away() || !control_.look(now_, tally_.result)) return;
    for (int n = 0; n < scenario_.processes; ++n) tell(n);
  }
  void tell(int n) { push(now_ + within(50, 300), Kind::kPlan, n, control_.newest()); }

  void plan_in(int n, int which) {
    Process& p = process(n);
    const fleet::Plan& plan = control_.plan(which);
    if (!p.alive || away() || plan.epoch <= p.epoch) return;
    p.epoch = plan.epoch;
    p.told = plan.cut_off;
    p.cut = plan.cut_off;
    p.valid_until = std::max(p.valid_until, now_ + kValid);
  }

  void rooms() {
    push(now_ + 50, Kind::kRoom);
    for (int n = 0; n < scenario_.processes; ++n) {
      process(n).sees(backends_.room(scenario_.own_zone ? n % scenario_.zones : -1, now_));
    }
  }

  // The next process dies, or is back: with a store it has the plan at once.
  void fault(int n, int back) {
    Process& p = process(n);
    if (back) {
      p.alive = true;
      p.start(now_);
      if (control_.newest() >= 0) tell(n);
      return;
    }
    p.alive = false;
    ++p.incarnation;
    push(now_ + 3000, Kind::kFault, n, 1);
    if (now_ + 4000 < scenario_.restarts.to)
      push(now_ + 4000, Kind::kFault, (n + 1) % scenario_.processes, 0);
  }

  const Scenario& scenario_;
  const Way way_;
  Random random_;
  Backends backends_;
  std::vector<Process> processes_;
  Control control_;
  Events events_;
  std::vector<Request> requests_;
  Tally tally_;
  Millis now_ = 0;
};

}  // namespace

Result play(const Scenario& scenario, Way way, std::uint64_t seed, const CutOffSettings& settings) {
  return Play(scenario, way, seed, settings).run();
}

}  // namespace shorelead::plans::sim
