// Leader election and planning in one process: campaigns, plans while it is the planner, and resigns. A state
// machine without I/O: takes events with the time, returns calls to the store. Owns the candidacy but keeps
// no plan: each round starts from one read of the store. A plan is written only by a transaction that
// compares the planner's own election and the plan that was read. No share is raised and no slot opened while
// shares of a lost history, or of a record or plan that cannot be read, may be in force.
//
// Two planners at the same time (one was suspended) are harmless: of two plans computed from the same plan
// only the first is written. Everything else that changes between the read and the write can only fall: a
// record rises at most to the plan that the write compares, and a process that joined in between has nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/millis.h"
#include "base/random.h"
#include "fleet/departed_members.h"
#include "fleet/division.h"
#include "fleet/history.h"
#include "fleet/lease_keeper.h"
#include "fleet/plan.h"
#include "fleet/planner_events.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

struct PlannerCounters {
  std::uint64_t elected = 0;
  std::uint64_t resigned = 0;
  std::uint64_t plans = 0;       // written
  std::uint64_t refused = 0;     // not written, since a comparison failed
  std::uint64_t unreadable = 0;  // reads that returned an unreadable plan or record
  std::uint64_t held = 0;        // rounds in which raising was not allowed
};

// Extension point that changes a plan before it is written: the cut-off, the slot maps. Implementations do no
// I/O. Slots that may not be open yet are closed afterwards (slots.h).
struct PlanShaper {
  virtual ~PlanShaper() = default;
  virtual void shape(Plan& next, const Plan* standing, const std::vector<Record>& records, Millis now) = 0;
};

class Planner {
 public:
  Planner(std::string name, const Sharing& sharing, std::vector<Budget> budgets,
          std::vector<std::shared_ptr<PlanShaper>> shapers, std::uint64_t seed);

  PlannerOut handle(const PlannerEvent& event, Millis now);
  bool elected() const { return fence_ != 0; }
  const PlannerCounters& counters() const { return counters_; }

 private:
  friend struct ModelEye;  // the model checker compares states through it

  void on(const CampaignResult& event);
  void on(const AllRead& event);
  void on(const PlanPut& event);
  void on(const Resigned& event);
  void on(const CallLost& event);
  void on(const LeaseValid& event);
  void on(const PlannerSeen& event);
  void on(const HistoryObserved& event) { observe(event.header, event.begun); }
  void on(const PlannerTick&) {}

  bool observe(const Header& header, Millis begun);  // false: the answer is to be ignored
  void resign();
  void call_store(PlannerOut& out);
  std::optional<Plan> plan_from(const AllRead& read, bool may_raise);
  bool all_known(const AllRead& read);  // whether everything in force is known

  const std::string name_;
  const Sharing sharing_;
  const std::vector<Budget> budgets_;
  const std::vector<std::shared_ptr<PlanShaper>> shapers_;
  Random random_;
  PlannerCounters counters_;

  Millis now_ = 0;
  std::uint64_t calls_ = 0;
  History history_;
  std::int64_t lease_ = 0;
  Millis lease_until_ = 0;

  std::uint64_t fence_ = 0;       // 0 = not elected
  std::string value_;             // written to the planner key when it campaigns; one per lease
  Millis campaign_at_ = -1;       // time of the next campaign; -1 = not scheduled
  Millis no_campaign_until_ = 0;  // no campaign until then: the plan is of a newer format version
  Underway underway_;
  std::uint64_t resign_fence_ = 0;  // fence of an election to resign from; 0 = none
  Millis read_at_ = 0;
  bool unfinished_ = false;   // the plan written last waits for records to follow
  Millis broken_since_ = -1;  // since when the current plan cannot be read; -1 = it can
  DepartedMembers departed_;
  std::optional<PutPlan> put_;  // the next write
};

}  // namespace shorelead::fleet
