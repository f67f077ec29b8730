// What passes between a process's planner (planner.h) and its client of the store. Pure data.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/millis.h"
#include "fleet/history.h"
#include "fleet/plan.h"

namespace shorelead::fleet {

// Creates P/planner under the process's lease, where there is none; else reads it, in one transaction.
struct Elect {
  std::uint64_t call;
  std::int64_t lease;
  std::string value;  // one for each lease: who reads its own has been elected
};
// All records, the plan and P/planner's creation, at one revision.
struct ReadAll {
  std::uint64_t call;
};
// Only where P/planner was created at `fence` and the plan last modified at `modified` (0: there is none).
struct PutPlan {
  std::uint64_t call;
  Plan plan;
  std::uint64_t fence;
  std::uint64_t modified;
};
// Removes P/planner, only where it was created at `fence`.
struct Abdicate {
  std::uint64_t call;
  std::uint64_t fence;
};
using PlannerCall = std::variant<Elect, ReadAll, PutPlan, Abdicate>;

struct Elected {
  std::uint64_t call;
  std::uint64_t created;  // create revision of P/planner as it stands now
  std::string value;      // its value
  Header header;
};
struct AllRead {
  std::uint64_t call;
  std::uint64_t planner_created;  // 0 = nobody is planner
  std::optional<Plan> plan;       // none: none there, or unreadable
  std::uint64_t plan_modified;    // 0 = none there
  bool newer_form;                // the plan is one of a newer version of the program
  std::vector<Record> records;
  std::size_t unreadable;  // records left out
  Header header;
};
struct PlanPut {
  std::uint64_t call;
  bool done;
  Header header;
};
struct Abdicated {
  std::uint64_t call;
  Header header;
};
struct CallLost {
  std::uint64_t call;
};
// Of the process's own lease (Member::lease, lease_until); 0 or past = it has none.
struct LeaseValid {
  std::int64_t lease;
  Millis until;
};
// A watch told that P/planner was created (its create revision) or is gone (0).
struct PlannerSeen {
  std::uint64_t created;
};
// Of every other answer's header, also while another process plans: who has heard one history for a whole
// lease may raise at once; anybody else waits so long, since shares of a lost history may still be in force.
struct HeardHistory {
  Header header;
  Millis begun;  // as in History::heard
};
struct PlannerTick {};
using PlannerEvent = std::variant<Elected, AllRead, PlanPut, Abdicated, CallLost, LeaseValid, PlannerSeen,
                                  HeardHistory, PlannerTick>;

struct PlannerOut {
  std::vector<PlannerCall> calls;
  Millis next = 0;
};

}  // namespace shorelead::fleet
