// Where a fleet has a plan, the worth that it gives a request takes precedence over that of the class:
// requests of lower worth in the plan are refused earlier, whatever the classes say.
#include <gtest/gtest.h>

#include <map>

#include "policy/policy.h"

namespace shorelead {
namespace {

// A module with three backends whose probes report `in_hand` requests.
class LoadedModule {
 public:
  LoadedModule(const Settings& settings, double in_hand) : policy_(settings, 1) {
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

TEST(RequestWorth, PlanTakesPrecedenceOverClass) {
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
  int without_plan[2] = {0, 0};
  int with_plan[2] = {0, 0};
  for (double in_hand = 0; in_hand < 6; in_hand += 0.25) {
    for (const int c : {0, 1}) {
      without_plan[c] += LoadedModule(settings, in_hand).sends(c, -1) ? 1 : 0;
      with_plan[c] += LoadedModule(settings, in_hand).sends(c, 1 - c) ? 1 : 0;
    }
  }
  EXPECT_GT(without_plan[1], without_plan[0] + 3);
  EXPECT_GT(with_plan[0], with_plan[1] + 3);
  EXPECT_GE(with_plan[0], without_plan[1]);
}

}  // namespace
}  // namespace shorelead
