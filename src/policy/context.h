// What all parts of the module work with: the settings, the time of the event, chance, and where actions go.
// How news of backends is had follows from the settings alone. It must never hold what was learnt.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "base/random.h"
#include "estimate/backends.h"
#include "policy/policy.h"

namespace shorelead::policy {

constexpr Millis kPeriod = 1000;               // shares are renewed this often, and probes at the most
constexpr int kTicksPerPeriod = 10;            // moments in a period at which probes that are due go out
constexpr Millis kTimerTolerance = 1;          // a timer may fire a rounding early
constexpr double kInitialServiceShare = 0.25;  // of the shortest aim: service time before any was seen
constexpr std::size_t kMaxCandidates = 512;    // backends weighed for one request, however many there are
constexpr double kProbeBudget = 0.02;          // most that looks may cost together, a request
constexpr int kProbesPerRequest = 3;           // backends asked at once for one request
constexpr int kProbesPerAttempt = 2;           // or, where only probes bring reports, before each attempt
constexpr double kProbeWaitShare = 0.06;       // of the aim: longest that it is held for their answers then

// A timer for one request has its number above the kind.
enum TimerKind : std::uint64_t { kTickTimer, kListTimer, kProbeWaitTimer, kHedgeTimer };

struct Context : estimate::View {
  Context(const Settings& s, std::uint64_t seed) : random(seed) { apply(s); }
  void apply(const Settings& changed) {
    settings = changed;
    shortest_aim = 0, max_worth = 1e-9;
    for (const RequestClass& c : settings.classes) {
      if (!c.in_force) continue;
      shortest_aim = shortest_aim > 0 ? std::min(shortest_aim, c.aim) : c.aim;
      max_worth = std::max(max_worth, c.worth);
    }
    period = kPeriod;
    warm_up = settings.warm_up;
    cold_share = settings.cold_share;
    seldom_told = exceeds_probe_budget(kProbesPerRequest);
    by_keepers =
        settings.instances > 1 && settings.peer_messages && !settings.reports_with_answers && seldom_told;
    set_sharing_nodes(sharing_nodes);
  }
  // So many nodes have each of these backends before them; 0: all.
  void set_sharing_nodes(double nodes) {
    sharing_nodes = nodes, sharers = nodes > 0 ? nodes : configured_nodes();
  }

  // Exception "look first": where only probes bring reports, all is old news; some are looked at before each
  // attempt, by probes where those are cheap, else by asking the fellow that keeps what all tell.
  bool probes_before_send() const {
    return by_keepers ||
           (!settings.reports_with_answers && settings.probing && !exceeds_probe_budget(kProbesPerAttempt));
  }
  bool exceeds_probe_budget(int looks) const { return settings.probe_price * looks > kProbeBudget; }
  double configured_nodes() const { return std::max(1, settings.instances); }
  const RequestClass& request_class(int n) const { return settings.classes[static_cast<std::size_t>(n)]; }

  template <typename ActionType>
  void emit(ActionType action) {
    actions->emplace_back(std::move(action));
  }
  void set_timer(std::uint64_t cookie, Millis at) { emit(SetTimer{at, cookie}); }

  Settings settings;
  Random random;
  std::vector<Action>* actions = nullptr;
  Millis shortest_aim = 0;
  double max_worth = 0;  // of any class
  double sharing_nodes = 0;

  // Mean service time before any was seen.
  Millis initial_service_time() const { return std::max(1.0, kInitialServiceShare * shortest_aim); }
};

}  // namespace shorelead::policy
