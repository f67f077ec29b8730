// When the module makes its first call for the list. The other tests of the module are in policy_test.cpp.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <utility>

#include "policy/policy.h"

namespace shorelead {
namespace {

// The time from the start of a node to its first call, with `nodes` nodes in the fleet.
Millis first_call(Millis ask_every, int nodes, std::uint64_t seed) {
  Settings settings;
  settings.classes.resize(1);
  settings.list_on_request = true;
  settings.ask_every = ask_every;
  settings.instances = nodes;
  settings.max_attempts = 1;
  Policy policy(settings, seed);
  std::set<std::pair<Millis, std::uint64_t>> timers;
  std::vector<Action> actions;
  policy.handle(Started{}, 1000, actions);
  for (Millis now = 1000;;) {
    for (const Action& action : actions) {
      if (std::holds_alternative<SubscribeList>(action)) return now - 1000;
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers.emplace(timer->at, timer->cookie);
    }
    if (timers.empty()) return 1e9;
    const auto next = timers.extract(timers.begin()).value();
    now = next.first;
    actions.clear();
    policy.handle(TimerFired{next.second}, now, actions);
  }
}

// A node that has not called for `ask_every` counts as informed of all changes, from its start on; where the
// last call of the previous process had failed, 6 s after the change, of which a call may take 2 s.
TEST(FirstCall, ComesBeforeTheNodeCountsAsInformedOfChanges) {
  for (const Millis ask_every : {0.0, 4000.0, 10000.0, 60000.0}) {
    Millis latest = 0;
    for (std::uint64_t seed = 0; seed < 300; ++seed)
      latest = std::max(latest, first_call(ask_every, 400, seed));
    const Millis spread = ask_every > 0 ? std::min(0.75 * ask_every, 4000.0) : 4000;
    EXPECT_LE(latest, spread) << ask_every;
    EXPECT_GE(latest, 0.95 * spread) << "spread over as long as that allows";
  }
}

}  // namespace
}  // namespace shorelead
