// A small fleet in simulated time: processes that report each second, a planner that reads late, backends
// with queues, clients that repeat. Deterministic by its seed. Owns the model and its counts; decisions are
// those of src/plans. It must never let a decision see what a real process could not.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "plans/admission.h"
#include "plans/cutoff.h"

namespace shorelead::plans::sim {

enum class Way {
  kNone,   // whoever comes is taken
  kAlone,  // each process sheds by its own figures
  kFleet,  // the controller of src/plans in the planner
  kDagor,  // the planner with DAGOR's rule: 5% less where overloaded, else 1% more, each second
  kAimd,   // the planner: 30% less where overloaded, else 2% of what is offered more, each second
};
inline constexpr std::array<const char*, 5> kWayNames{"none", "alone", "fleet", "dagor", "aimd"};

struct Span {
  Millis from = 0;
  Millis to = 0;
  bool holds(Millis now) const { return now >= from && now < to; }
};

struct Scenario {
  std::string name;
  int processes = 12;
  int backends = 24;
  int slots = 2;          // of a backend
  int zones = 3;          // of processes and backends, in turn
  bool own_zone = false;  // a process sends to backends of its own zone only
  Millis service = 20;    // mean, exponential
  int queue = 6;          // a backend refuses beyond so many waiting
  Millis length = 120000;
  std::function<double(Millis)> load;  // of what all backends can do
  std::vector<Span> stalls;            // all stands still
  Span dead;                           // backends of the second half
  Span bad_zone;                       // backends of zone 0 take 20 times as long
  Span bad_pool;            // the same of the last quarter of the backends, which a quarter of requests need
  Span restarts;            // in it every 4 s the next process dies and is back 3 s later
  Span store_away;          // reports and plans get lost
  Span hot;                 // process 0 has a third of all requests, more than it can pass on
  int liars = 0;            // the first ones say all is missed and claim 1000 times the load
  bool liars_deny = false;  // or that all is well
};

struct RankSums {
  double offered = 0;  // first tries
  double served = 0;   // of these, answered in time, be it at a repeat
  double refused = 0;  // tries turned away for the shortage
};

struct Result {
  std::vector<RankSums> ranks;
  double worth = 0;
  double worth_offered = 0;
  int changes = 0;         // of the cut-off, in the plans or, alone, the mean of the processes
  int most_in_10s = 0;     // of the plans' changes
  double shed = 0;         // share of all tries turned away for the shortage
  double upside_down = 0;  // windows of 2 s at a process in which the order was broken
  double windows = 0;
  double upside_down_fleet = 0;                   // share of windows in which it was broken between processes
  std::vector<std::pair<Millis, double>> levels;  // of the plans
};

inline const std::vector<PlanSpec> kPlans{
    {"gold", 1, 0, {"g"}, false}, {"silver", 2, 0, {"s"}, false}, {"basic", 3, 0.05, {"b"}, true}};
inline const std::vector<double> kWorths{1, 3};

Result play(const Scenario& scenario, Way way, std::uint64_t seed, const CutOffSettings& settings = {});

// All that are played, by name.
std::vector<Scenario> scenarios(std::uint64_t seed);
const Scenario& named(const std::vector<Scenario>& all, const std::string& name);

}  // namespace shorelead::plans::sim
