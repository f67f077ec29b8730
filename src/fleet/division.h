// Computes how much of each budget every process gets. No I/O: from the current plan and the records at one
// revision to the next plan, or none. No process gets more than the invariant of plan.h allows.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/millis.h"
#include "fleet/plan.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

// What one process may spend without a plan: one of `Sharing::most_processes` equal reserves. In whole units,
// for a rate of the burst. A rate's reserve has at least one unit if that uses at most half of the burst; any
// other reserve below one unit is nothing.
Part reserve_of(const Budget& budget, const Sharing& sharing);

// What a plan may divide: the whole less everybody's reserve; whole units, of the burst where it is a rate.
Part divisible(const Budget& budget, const Sharing& sharing);

// Divides one budget by demand with max-min fairness (water-filling): a minimum part for each process, the
// remainder that no process demands in equal parts, no process above `most_part`. Reported demand counts in
// full up to an equal part, beyond that at most twice what the process spent of its share, plus one unit. So
// a process that demands but does not spend gains nothing, and real growth can double with each division. For
// a rate, a process without a share counts as demanding an equal part. If some process would get less than
// one unit, units rotate with `turn`, one step every `turns_each` turns, each process as often as its part is
// large. The result adds up to at most `divisible` and is in the order of `records`; that order has no other
// influence.
std::vector<Part> divide(const Budget& budget, const Sharing& sharing, const std::vector<Record>& records,
                         std::uint64_t turn);

// Rounds `value` down to about a millionth of the whole in decimal digits, so that plans stay short.
double grained(double value, double whole);

// Turns between two steps of the rotation: long enough that a process can spend the unit it was given.
std::uint64_t turns_each(const Budget& budget, const Sharing& sharing);

struct PlannerInput {
  std::vector<Budget> budgets;
  Sharing sharing;
  std::optional<Plan> plan;     // the current plan; nullopt = there is none, or it is unreadable
  std::vector<Record> records;  // of all members, at one revision not before the plan's
  std::uint64_t fence = 0;
  // The same history has been observed for a whole lease, and every plan and record can be read. Otherwise no
  // process gets more than its record or the current plan has.
  bool may_raise = false;
  // Concurrency budgets may not be raised yet: requests admitted under a lost history may stay in flight for
  // the longest `hold`. Rates and counts per window are spent at admission and need no such wait.
  bool at_once_waits = false;
  // Members of the current plan whose record disappeared less than the longest `hold` ago, by
  // MemberId::text(). Their concurrent requests may still be in flight at the backends, so their parts of
  // concurrency budgets are kept: the maximum of the record last seen and the plan at that time.
  std::map<std::string, Parts> recently_departed;
};

// The next plan: the targets of `divide`, limited to what max(record, old, new) of the others leaves. nullopt
// if the change is not worth a write: no process can use more, or less than a unit or 5% of an equal part
// would move. Members without a record are dropped, new ones start with nothing. `wholes` come from the
// planner's own configuration. `cut_off` and `affinity` are copied from the old plan, for the shapers to
// change.
std::optional<Plan> next_plan(const PlannerInput& input, std::uint64_t turn);

// Whether a plan leaves part of a budget unassigned or a slot closed, as it does until members have
// acknowledged what was lowered or closed. The planner then starts its next round sooner.
bool unfinished(const Plan& plan, const std::vector<Budget>& budgets, const Sharing& sharing);

// max(record, plan) of one process for one budget.
Part bound_of(const Plan* plan, const Record* record, const std::string& member, const std::string& budget);

// What a process may spend of its parts in a plan. If the plan was computed from larger totals than its own
// configuration has, each part is cut in proportion, so that no process spends beyond the smaller of the two.
// A budget that is missing in the plan or in the configuration, or is a rate in only one of them, gives
// nothing. Reserves come from each process's own configuration: while two versions with different reserves
// run side by side, the sum may exceed the whole by the difference.
Parts usable(const Parts& parts, const std::map<std::string, Part>& wholes,
             const std::vector<Budget>& budgets);

}  // namespace shorelead::fleet
