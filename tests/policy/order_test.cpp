// Where a fleet has an order of plans, its word on a request's worth goes before the class's: what stands
// lower in the order is turned away sooner, whatever the classes say.
#include <gtest/gtest.h>

#include <map>

#include "policy/policy.h"

namespace shorelead {
namespace {

// A module before three backends whose probes tell of so many requests in hand.
class Crowded {
 public:
  Crowded(const Settings& settings, double in_hand) : policy_(settings, 1) {
    report_.in_hand = in_hand;
    feed(Started{});
    ListUpdate list;
    for (BackendId i = 0; i < 3; ++i) list.entries.push_back({.backend = i});
    feed(list);
    run_to(300000);
  }

  bool sends(int request_class, double worth) {
    RequestArrived arrived;
    arrived.request = 1;
    arrived.request_class = request_class;
    arrived.due = now_ + 1000;
    arrived.worth = worth;
    sent_ = false;
    feed(arrived);
    run_to(now_ + 20);
    return sent_;
  }

 private:
  void feed(const Event& event) {
    std::vector<Action> actions;
    policy_.handle(event, now_, actions);
    for (const Action& a : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&a)) timers_.emplace(timer->at, timer->cookie);
      if (std::holds_alternative<SendAttempt>(a)) sent_ = true;
      if (const auto* probe = std::get_if<SendProbe>(&a)) {
        feed(ProbeEnded{probe->backend, Outcome::kServed, 1, true, report_});
      }
    }
  }
  void run_to(Millis until) {
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, cookie] = *timers_.begin();
      timers_.erase(timers_.begin());
      now_ = std::max(now_, at);
      feed(TimerFired{cookie});
    }
    now_ = until;
  }

  Policy policy_;
  LoadReport report_;
  Millis now_ = 1000;
  bool sent_ = false;
  std::multimap<Millis, std::uint64_t> timers_;
};

TEST(Order, TheFleetsGoesBeforeTheClasses) {
  Settings settings;
  for (const double worth : {1, 10}) {
    RequestClass one;
    one.effect = Effect::kSafe;
    one.aim = 400;
    one.deadline = 1000;
    one.worth = worth;
    settings.classes.push_back(one);
  }
  settings.max_attempts = 5;
  int untold[2] = {0, 0};
  int told[2] = {0, 0};
  for (double in_hand = 0; in_hand < 6; in_hand += 0.25) {
    for (const int c : {0, 1}) {
      untold[c] += Crowded(settings, in_hand).sends(c, -1) ? 1 : 0;
      told[c] += Crowded(settings, in_hand).sends(c, 1 - c) ? 1 : 0;
    }
  }
  EXPECT_GT(untold[1], untold[0] + 3);
  EXPECT_GT(told[0], told[1] + 3);
  EXPECT_GE(told[0], untold[1]);
}

}  // namespace
}  // namespace shorelead
