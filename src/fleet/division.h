// The planner's decision: who gets how much. Pure: the plan that stands, what the records say at one
// revision, out comes the next plan or none. It must never give anybody more than the invariant of plan.h
// leaves.
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

// What one process may spend without any plan, of `Sharing::most_processes` that are as large. Whole units,
// of the burst where it is a rate: there one unit each where all of them together are at most half of the
// burst; none where it would be less than a unit.
Part reserve_of(const Budget& budget, const Sharing& sharing);

// What a plan may divide: the whole less everybody's reserve; whole units, of the burst where it is a rate.
Part divisible(const Budget& budget, const Sharing& sharing);

// Divides one budget by demand, as high as possible at one level for all who ask for more (max-min): a least
// part for each, what nobody asks for in equal parts, nobody over `most_part`. What a record claims counts up
// to an equal part; beyond it at most twice what it spent of what it had, and a unit: who claims and does not
// spend gains nothing, and a true demand doubles with each division. Of a rate, who has nothing yet
// counts as if it asked for an equal part. Where somebody would have less than one
// unit, units go round with `turn`, a step every `turns_each` of them, each process as often as its part is
// large. The result adds up to at most `divisible`; it is in the order of `records`, whose order does not
// matter otherwise.
std::vector<Part> divide(const Budget& budget, const Sharing& sharing, const std::vector<Record>& records,
                         std::uint64_t turn);

// Amounts are written in few digits: `value` cut to a millionth of the whole, in decimals.
double grained(double value, double whole);

// Turns between two steps of units that go round: long enough that what a process is handed can be spent.
std::uint64_t turns_each(const Budget& budget, const Sharing& sharing);

struct PlannerInput {
  std::vector<Budget> budgets;
  Sharing sharing;
  std::optional<Plan> plan;     // that stands; none = there is none yet, or none that can be read
  std::vector<Record> records;  // all members' at one revision at or after the plan's
  std::uint64_t fence = 0;
  // One history was heard for a whole lease, and there is neither a plan nor a record that cannot be read:
  // else nobody gets more than his record says, or the plan that stands.
  bool may_raise = false;
  // Though others may be raised, what counts at once may not: what a lost history's shares began may be under
  // way for the longest `hold` more. A rate, or a count in a window, is spent when it is let through.
  bool at_once_waits = false;
  // Members of the standing plan whose record is gone for less than the longest `hold`, by MemberId::text():
  // what they had at once may still be in use at the backends, so that their parts of that kind stand.
  // With the most that each had since it was last seen: its record's, or the plan's that stood then.
  std::map<std::string, Parts> lately_gone;
};

// The next plan with the aim of `divide`, cut to what max(record, old, new) leaves; nothing where it would
// change nothing worth a write: nobody has use for more, or less than a unit or 5% of an equal part would
// move. Members without a record are dropped, new ones begin at nothing. `wholes` is that of the planner's
// file. `cut_off` and `affinity` are taken over from the old plan, for others to change.
std::optional<Plan> next_plan(const PlannerInput& input, std::uint64_t turn);

// Whether a plan leaves something of a budget to nobody, or a slot closed, as it does while what was lowered
// or closed is not acknowledged: then it is worth looking again soon.
bool unfinished(const Plan& plan, const std::vector<Budget>& budgets, const Sharing& sharing);

// max(record, plan) of one process for one budget.
Part bound_of(const Plan* plan, const Record* record, const std::string& member, const std::string& budget);

// What a process may spend of its parts in a plan: where the plan was made from larger wholes than its own
// file states, each is cut in proportion; so nobody spends beyond the smaller of the two. A budget that the
// plan or the file lacks, or that is a rate in one of them only, gives nothing. Reserves are each file's own:
// while two versions that differ in them run side by side, a sum may be over by the difference.
Parts usable(const Parts& parts, const std::map<std::string, Part>& wholes,
             const std::vector<Budget>& budgets);

}  // namespace shorelead::fleet
