// A process as a member of the fleet: its incarnations, the plan it has seen, the contents of its record. A
// state machine without I/O: takes events with the time, returns calls to the store and snapshots for the
// traffic. Keeps the order: lower, wait for the traffic, write the record, raise. A raise is published only
// once the record has it, and validity counts from the start of a call.
//
// What is published never exceeds the record in the store, even if answers are lost, late or duplicated. Only
// one call that writes the record is in flight at a time, and each compares the modification revision of the
// last one known to have succeeded. So of all calls with unknown outcome at most one can still succeed; the
// next one then fails its comparison and reads the current record. Each call writes at least what was
// published when it started; after that the published shares only fall until the answer to a later call
// reports success, which rules out every earlier call.
//
// A share whose validity has lapsed may resume: if a later transaction finds the record unchanged, the lease
// never expired and no other process was given any of the share. Otherwise the incarnation ends: nothing is
// in force, the traffic is waited for, and the process joins again under another incarnation number.
//
// Times are in ms of a clock that keeps running while the machine is suspended (CLOCK_BOOTTIME).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/millis.h"
#include "base/random.h"
#include "fleet/held_budgets.h"
#include "fleet/history.h"
#include "fleet/lease_keeper.h"
#include "fleet/member_events.h"
#include "fleet/plan.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

struct MemberCounters {
  std::uint64_t joined = 0;      // incarnations started
  std::uint64_t ended = 0;       // incarnations that ended: lease or record gone, history lost, left
  std::uint64_t lapsed = 0;      // times the validity expired
  std::uint64_t lost = 0;        // calls without an answer
  std::uint64_t refused = 0;     // writes of the record whose comparison failed
  std::uint64_t histories = 0;   // lost histories of the store
  std::uint64_t epochs = 0;      // plans put in force
  std::uint64_t older = 0;       // plans ignored: older, or of another history
  std::uint64_t name_taken = 0;  // attempts to join under a name that another process has
};

class Member {
 public:
  Member(std::string name, std::string zone, double weight, const Sharing& sharing,
         std::vector<Budget> budgets, std::uint64_t seed);

  MemberOut handle(const MemberEvent& event, Millis now);

  Millis valid_until() const;
  std::uint64_t incarnation() const { return phase_ == Phase::kIn ? id_.incarnation : 0; }
  std::uint64_t epoch() const { return held_.epoch(); }  // of the plan fully in force
  std::int64_t lease() const { return lease_.lease(); }  // 0 = none; the planner campaigns under it
  Millis lease_until() const;                            // the lease certainly exists until then
  bool left() const { return phase_ == Phase::kLeft; }   // after Leave
  const MemberCounters& counters() const { return counters_; }

 private:
  friend struct ModelEye;  // the model checker compares states through it

  enum class Phase {
    kNoLease,
    kNaming,  // has a lease, but no record yet
    kIn,
    kEnding,  // nothing in force; waits for the traffic, then revokes the lease
    kLeft,
  };

  void on(const Granted& event);
  void on(const Renewed& event);
  void on(const RecordPut& event);
  void on(const Revoked& event);
  void on(const MemberCallLost& event);
  void on(const PlanSeen& event);
  void on(const Traffic& event) { held_.set_traffic(event.state); }
  void on(const HeaderObserved& event) { observe(event.header, event.begun); }
  void on(const Tick&) {}
  void on(const Leave&);

  bool observe(const Header& header, Millis begun);  // false: the answer is to be ignored
  void refused(const RecordPut& event);
  void joined();
  void end_incarnation();
  void call_store(MemberOut& out);
  void put_record(MemberOut& out);
  Millis next() const;

  const std::string zone_;
  const double weight_;
  const Sharing sharing_;
  Random random_;
  MemberCounters counters_;

  Millis now_ = 0;
  Phase phase_ = Phase::kNoLease;
  bool leaving_ = false;
  bool lapsed_ = false;
  std::uint64_t calls_ = 0;
  History history_;
  LeaseKeeper lease_;
  HeldBudgets held_;

  MemberId id_;
  Record record_;               // as written by the last call known to have succeeded
  std::uint64_t modified_ = 0;  // its modification revision; 0 = there is no record
  Millis put_begun_ = -1;       // start of that call; -1 = none

  Underway put_call_;
  Record put_;                   // what the call in flight writes
  std::uint64_t put_epoch_ = 0;  // of the plan it acknowledges; 0 = none
  Millis put_due_ = 0;           // next write even if nothing changed
  Millis put_soon_ = 0;          // next write if the reported traffic changed
  Millis put_again_ = 0;         // no write before, whatever changed
  Millis lower_again_ = 0;       // no write before if it only lowers

  std::optional<Plan> plan_;  // newest seen in this history
  std::uint64_t plan_modified_ = 0;
  bool plan_passed_ = false;  // the store has a newer plan
};

}  // namespace shorelead::fleet
