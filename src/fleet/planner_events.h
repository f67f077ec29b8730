// Events and calls between the planner (planner.h) and the client of the store. Plain data.
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

// In one transaction creates P/planner under the process's lease if it does not exist, and otherwise reads
// it.
struct Campaign {
  std::uint64_t call;
  std::int64_t lease;
  std::string value;  // one per lease: a process that reads its own value has been elected
};
// Reads all records, the plan and P/planner's create revision, at one revision.
struct ReadAll {
  std::uint64_t call;
};
// Writes the plan only if P/planner's create revision is `fence` and the plan's modification revision is
// `modified` (0: there is no plan).
struct PutPlan {
  std::uint64_t call;
  Plan plan;
  std::uint64_t fence;
  std::uint64_t modified;
};
// Removes P/planner only if its create revision is `fence`.
struct Resign {
  std::uint64_t call;
  std::uint64_t fence;
};
using PlannerCall = std::variant<Campaign, ReadAll, PutPlan, Resign>;

struct CampaignResult {
  std::uint64_t call;
  std::uint64_t created;  // current create revision of P/planner
  std::string value;      // its current value
  Header header;
};
struct AllRead {
  std::uint64_t call;
  std::uint64_t planner_created;  // 0 = there is no planner
  std::optional<Plan> plan;       // nullopt: there is none, or it is unreadable
  std::uint64_t plan_modified;    // modification revision; 0 = there is none
  bool newer_form;                // the plan has a newer format version
  std::vector<Record> records;
  std::size_t unreadable;  // records left out because they are unreadable
  Header header;
};
struct PlanPut {
  std::uint64_t call;
  bool done;
  Header header;
};
struct Resigned {
  std::uint64_t call;
  Header header;
};
struct CallLost {
  std::uint64_t call;
};
// The process's own lease (Member::lease, lease_until); 0 or a past time = none.
struct LeaseValid {
  std::int64_t lease;
  Millis until;
};
// A watch reported that P/planner was created (its create revision) or removed (0).
struct PlannerSeen {
  std::uint64_t created;
};
// The header of any other answer, also while another process is the planner. A process that has observed one
// history for a whole lease may raise immediately; any other waits that long, since shares of a lost history
// may still be in force.
struct HistoryObserved {
  Header header;
  Millis begun;  // as in History::observe
};
struct PlannerTick {};
using PlannerEvent = std::variant<CampaignResult, AllRead, PlanPut, Resigned, CallLost, LeaseValid,
                                  PlannerSeen, HistoryObserved, PlannerTick>;

struct PlannerOut {
  std::vector<PlannerCall> calls;
  Millis next = 0;
};

}  // namespace shorelead::fleet
