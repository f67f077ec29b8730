// State that all parts of the module share: the settings, the time of the event, the random numbers and the
// list of actions. Holds nothing that was measured.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "base/random.h"
#include "estimate/backends.h"
#include "policy/policy.h"

namespace shorelead::policy {

constexpr Millis kPeriod = 1000;       // between renewals of the shares; also the shortest round of probes
constexpr int kTicksPerPeriod = 10;    // moments in a period at which due probes are sent
constexpr Millis kTimerTolerance = 1;  // a timer may fire early by a rounding error
// Of the shortest aim: service time assumed before the first answer.
constexpr double kInitialServiceShare = 0.25;
constexpr std::size_t kMaxCandidates = 512;  // backends compared for one request, however large the fleet
// Of the result: the cost of all probes for one request may not exceed it.
constexpr double kProbeBudget = 0.02;
constexpr int kProbesPerRequest = 3;      // sent at once for one request
constexpr int kProbesPerAttempt = 2;      // where only probes carry load reports: sent before each attempt
constexpr double kProbeWaitShare = 0.06;  // of the aim: longest time that a request waits for their answers

// The cookie of a timer for one request holds the request's number above the eight bits of the kind.
enum TimerKind : std::uint64_t { kTickTimer, kListTimer, kProbeWaitTimer, kHedgeTimer };

struct Context : estimate::EstimateContext {
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
    reports_rare = exceeds_probe_budget(kProbesPerRequest);
    peers_report_load =
        settings.instances > 1 && settings.peer_messages && !settings.reports_with_answers && reports_rare;
    set_sharing_nodes(sharing_nodes);
  }
  // `nodes`: how many nodes use each of these backends; 0 = all.
  void set_sharing_nodes(double nodes) {
    sharing_nodes = nodes, nodes_per_backend = nodes > 0 ? nodes : configured_nodes();
  }

  // Exception "probe before send": where only probes carry load reports, every report is old. Before each
  // attempt a few backends are probed, or, where probes exceed their budget, the peer that owns the backend's
  // ledger is queried.
  bool probes_before_send() const {
    return peers_report_load ||
           (!settings.reports_with_answers && settings.probing && !exceeds_probe_budget(kProbesPerAttempt));
  }
  bool exceeds_probe_budget(int probes) const { return settings.probe_price * probes > kProbeBudget; }
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
  double max_worth = 0;  // highest of any class
  double sharing_nodes = 0;

  // Mean service time assumed before the first answer.
  Millis initial_service_time() const { return std::max(1.0, kInitialServiceShare * shortest_aim); }
};

}  // namespace shorelead::policy
