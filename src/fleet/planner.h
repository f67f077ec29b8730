// One process's side of planning: it stands for election, plans while it surely is the planner, and resigns.
// Pure: events with the time in, calls to the store out. Owns the candidacy and the view of the records; it
// must never write a plan but by a transaction that compares its own election and the plan that it read.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/millis.h"
#include "fleet/division.h"
#include "fleet/plan.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

struct Elect {
  std::uint64_t call;
  std::string value;
};  // create P/planner under the process's lease
// All records and the plan at one revision.
struct ReadAll {
  std::uint64_t call;
};
struct PutPlan {
  std::uint64_t call;
  Plan plan;
  std::uint64_t fence;     // create revision of P/planner
  std::uint64_t modified;  // of the plan; 0 = there is none
};
using PlannerCall = std::variant<Elect, ReadAll, PutPlan>;

struct Elected {
  std::uint64_t call;
  bool done;
  std::uint64_t revision;
};  // done: the create revision
struct AllRead {
  std::uint64_t call;
  std::uint64_t revision;
  std::uint64_t planner_created;  // 0 = nobody is planner
  std::optional<Plan> plan;       // none: none there, or unreadable
  std::uint64_t plan_modified;    // 0 = none there
  std::vector<Record> records;    // unreadable ones left out and counted
};
struct PlanPut {
  std::uint64_t call;
  bool done;
  std::uint64_t revision;
};
struct CallLost {
  std::uint64_t call;
};
struct LeaseValid {
  Millis until;
};  // of the process's own lease; past = it has none
// Of every answer's header, also while another process plans: who has heard one history for a whole lease may
// raise at once; anybody else waits so long, since shares of a lost history may still be in force.
struct HeardHistory {
  std::uint64_t cluster;
  std::uint64_t revision;
};
struct PlannerTick {};
using PlannerEvent = std::variant<Elected, AllRead, PlanPut, CallLost, LeaseValid, HeardHistory, PlannerTick>;

struct PlannerOut {
  std::vector<PlannerCall> calls;
  Millis next = 0;
};

struct PlannerCounters {
  std::uint64_t elected = 0, plans = 0, refused = 0, unreadable = 0, resigned = 0;
};

// Changes that others make to a plan before it is written: the cut-off, the maps of slots. Each is pure.
struct PlanShaper {
  virtual ~PlanShaper() = default;
  virtual void shape(Plan& next, const Plan* standing, const std::vector<Record>& records, Millis now) = 0;
};

class Planner {
 public:
  Planner(std::string name, const Sharing& sharing, std::vector<Budget> budgets,
          std::vector<std::shared_ptr<PlanShaper>> shapers, std::uint64_t seed);

  PlannerOut handle(const PlannerEvent& event, Millis now);
  bool elected() const;
  const PlannerCounters& counters() const { return counters_; }

 private:
  struct State;
  std::shared_ptr<State> state_;
  PlannerCounters counters_;
};

}  // namespace shorelead::fleet
