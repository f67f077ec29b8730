// The planner's decision: who gets how much. Pure: the plan that stands, what the records say at one
// revision, out comes the next plan or none. It must never give anybody more than the invariant of plan.h
// leaves.
#pragma once

#include <optional>
#include <vector>

#include "base/millis.h"
#include "fleet/plan.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

// Divides one budget by demand: a least part for each, the rest by demand bounded by `most_part`, what nobody
// asks for in equal parts. Small wholes go round in units: `turn` grows with each division. The result adds
// up to at most the whole less its reserve. Order of `records` does not matter.
std::vector<Part> divide(const Budget& budget, const std::vector<Record>& records, std::uint64_t turn);

struct PlannerInput {
  std::vector<Budget> budgets;
  Sharing sharing;
  std::optional<Plan> plan;     // that stands; none = there is none yet, or none that can be read
  std::vector<Record> records;  // all members' at one revision at or after the plan's
  std::uint64_t fence = 0;
  bool may_raise = false;  // one history was heard for a whole lease
};

// The next plan with the aim of `divide`, cut to what max(record, old, new) leaves; nothing where it would
// change nothing worth a write. `cut_off` and `affinity` are taken over from the old plan, for others to
// change.
std::optional<Plan> next_plan(const PlannerInput& input, std::uint64_t turn);

// max(record, plan) of one process for one budget.
Part bound_of(const Plan* plan, const Record* record, const std::string& member, const std::string& budget);

}  // namespace shorelead::fleet
