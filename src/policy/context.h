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

constexpr Millis kPeriod = 1000;           // shares are renewed this often, and probes at the most
constexpr int kTicks = 10;                 // moments in a period at which probes that are due go out
constexpr Millis kTimerSlack = 1;          // a timer may fire a rounding early
constexpr double kFirstWorkGuess = 0.25;   // of the shortest aim: service time before any was seen
constexpr std::size_t kMostWeighed = 512;  // backends weighed for one request, however many there are
constexpr double kLookPrice = 0.02;        // most that looks may cost together, a request
constexpr int kLooks = 3;                  // backends asked at once for one request
constexpr int kFirstLooks = 2;             // or, where only probes bring reports, before each attempt
constexpr double kLookShare = 0.06;        // of the aim: longest that it is held for their answers then

// A timer for one request has its number above the kind.
enum TimerKind : std::uint64_t { kTickTimer, kListTimer, kLookTimer, kCopyTimer };

struct Context : estimate::EstimateContext {
  Context(const Settings& s, std::uint64_t seed) : random(seed) { change(s); }
  void change(const Settings& changed) {
    settings = changed;
    shortest_aim = 0, most_worth = 1e-9;
    for (const RequestClass& c : settings.classes) {
      if (!c.in_force) continue;
      shortest_aim = shortest_aim > 0 ? std::min(shortest_aim, c.aim) : c.aim;
      most_worth = std::max(most_worth, c.worth);
    }
    period = kPeriod;
    warm_up = settings.warm_up;
    cold_share = settings.cold_share;
    reports_rare = too_dear(kLooks);
    peers_report_load =
        settings.instances > 1 && settings.peer_messages && !settings.reports_with_answers && reports_rare;
    share(sharing);
  }
  // So many nodes have each of these backends before them; 0: all.
  void share(double nodes) { sharing = nodes, nodes_per_backend = nodes > 0 ? nodes : stated_nodes(); }

  // Exception "look first": where only probes bring reports, all is old news; some are looked at before each
  // attempt, by probes where those are cheap, else by asking the fellow that keeps what all tell.
  bool looks_first() const {
    return peers_report_load ||
           (!settings.reports_with_answers && settings.probing && !too_dear(kFirstLooks));
  }
  bool too_dear(int looks) const { return settings.probe_price * looks > kLookPrice; }
  double stated_nodes() const { return std::max(1, settings.instances); }
  const RequestClass& request_class(int n) const { return settings.classes[static_cast<std::size_t>(n)]; }

  template <typename Done>
  void act(Done action) {
    out->emplace_back(std::move(action));
  }
  void timer(std::uint64_t cookie, Millis at) { act(SetTimer{at, cookie}); }

  Settings settings;
  Random random;
  std::vector<Action>* out = nullptr;
  Millis shortest_aim = 0;
  double most_worth = 0;  // of any class
  double sharing = 0;

  // Mean service time before any was seen.
  Millis first_guess() const { return std::max(1.0, kFirstWorkGuess * shortest_aim); }
};

}  // namespace shorelead::policy
