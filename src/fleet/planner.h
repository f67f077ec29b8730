// One process's side of planning: it stands for election, plans while it is the planner, and resigns. Pure:
// events with the time in, calls to the store out. Owns the candidacy and nothing of the plan itself: each
// round begins with what one read of the store shows. It must never write a plan but by a transaction that
// compares its own election and the plan that it read; nor raise a share, or open a slot, while shares of a
// history that was lost, or of a record or plan that it cannot read, may be in force.
//
// Two planners at once (one was paused) are harmless: of two plans made from one only the first is written.
// What else changes between the read and the write only falls: a record raises at most to what the plan says
// that the write compares, and a process that joined meanwhile has nothing.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/millis.h"
#include "base/random.h"
#include "fleet/division.h"
#include "fleet/history.h"
#include "fleet/lease_keeper.h"
#include "fleet/leavers.h"
#include "fleet/plan.h"
#include "fleet/planner_events.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

struct PlannerCounters {
  std::uint64_t elected = 0;
  std::uint64_t resigned = 0;
  std::uint64_t plans = 0;       // written
  std::uint64_t refused = 0;     // not written: a comparison failed
  std::uint64_t unreadable = 0;  // reads that showed a plan or a record that cannot be read
  std::uint64_t held = 0;        // rounds in which nothing could be raised
};

// Changes that others make to a plan before it is written: the cut-off, the maps of slots. Each is pure.
// Slots that may not be open yet are closed after it (slots.h).
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
  friend struct ModelEye;  // the model's search of all states tells them apart by it

  void on(const Elected& event);
  void on(const AllRead& event);
  void on(const PlanPut& event);
  void on(const Abdicated& event);
  void on(const CallLost& event);
  void on(const LeaseValid& event);
  void on(const PlannerSeen& event);
  void on(const HeardHistory& event) { hear(event.header, event.begun); }
  void on(const PlannerTick&) {}

  bool hear(const Header& header, Millis begun);  // whether what came with it counts
  void resign();
  void call_store(PlannerOut& out);
  std::optional<Plan> plan_from(const AllRead& read, bool may_raise);
  bool all_known(const AllRead& read);  // what is in force

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

  std::uint64_t fence_ = 0;  // 0 = not elected
  std::string value_;        // that it stands with under its lease
  Millis stand_at_ = -1;     // next; -1 = not thought of yet
  Millis gives_way_ = 0;     // it does not stand until then: the plan is of a newer form
  Underway underway_;
  std::uint64_t leave_ = 0;  // fence of an election that is to be given back
  Millis read_at_ = 0;
  bool unfinished_ = false;   // the plan put last: something waits for records to follow
  Millis broken_since_ = -1;  // the plan that stands cannot be read; -1 = it can
  Leavers leavers_;
  std::optional<PutPlan> put_;  // that comes next
};

}  // namespace shorelead::fleet
