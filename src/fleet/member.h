// One process's side of the sharing: its incarnations, the plan it has seen, what its record says. Pure:
// events with the time in, calls to the store and snapshots for the traffic out. Owns the order: lower, wait
// for the traffic, write the record, raise. It must never hand out a raise that no record has, nor count
// validity from the end of a call.
//
// Why what is published never exceeds what the record in the store says, whatever answers are lost, late or
// doubled: one call that writes the record is under way at a time, and each compares the modification that
// the last one known to be done made. So of all calls whose fate is unknown at most one more can ever be
// done, and then the next fails and reads what stands. Each of them says at least what was published when it
// was begun; from then on what is published only falls, until an answer says that a later one was done; and
// with that every earlier one is barred.
//
// A share whose validity lapsed is not over: when a later transaction finds the record as it was, the lease
// never ran out, and nobody was given anything of it; it goes on. When it does not, the incarnation ends:
// nothing is in force, the traffic is waited for, the process joins anew under another number.
//
// Times are a clock's that goes on while the machine sleeps (CLOCK_BOOTTIME), in ms.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/millis.h"
#include "base/random.h"
#include "fleet/history.h"
#include "fleet/holding.h"
#include "fleet/lease_keeper.h"
#include "fleet/member_events.h"
#include "fleet/plan.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

struct MemberCounters {
  std::uint64_t joined = 0;      // incarnations begun
  std::uint64_t ended = 0;       // incarnations that ended: lease or record gone, history lost, left
  std::uint64_t lapsed = 0;      // times that validity ran out
  std::uint64_t lost = 0;        // calls without an answer
  std::uint64_t refused = 0;     // puts of the record whose comparison failed
  std::uint64_t histories = 0;   // that were lost
  std::uint64_t epochs = 0;      // put in force
  std::uint64_t older = 0;       // plans kept out: older, or of another history
  std::uint64_t name_taken = 0;  // tries to join under a name that another process has
};

class Member {
 public:
  Member(std::string name, std::string zone, double weight, const Sharing& sharing,
         std::vector<Budget> budgets, std::uint64_t seed);

  MemberOut handle(const MemberEvent& event, Millis now);

  Millis valid_until() const;
  std::uint64_t incarnation() const { return phase_ == Phase::kIn ? id_.incarnation : 0; }
  std::uint64_t epoch() const { return holding_.epoch(); }  // in force whole
  std::int64_t lease() const { return lease_.lease(); }     // 0 = none; the planner stands under it
  Millis lease_until() const;                               // surely there until then
  bool left() const { return phase_ == Phase::kLeft; }      // after Leave
  const MemberCounters& counters() const { return counters_; }

 private:
  friend struct ModelEye;  // the model's search of all states tells them apart by it

  enum class Phase {
    kNoLease,
    kNaming,  // a lease, and no record yet
    kIn,
    kEnding,  // nothing is in force any more; the traffic is waited for, then the lease given back
    kLeft,
  };

  void on(const Granted& event);
  void on(const Renewed& event);
  void on(const RecordPut& event);
  void on(const Revoked& event);
  void on(const Lost& event);
  void on(const PlanSeen& event);
  void on(const Traffic& event) { holding_.told(event.state); }
  void on(const Heard& event) { hear(event.header, event.begun); }
  void on(const Tick&) {}
  void on(const Leave&);

  bool hear(const Header& header, Millis begun);  // whether what came with it counts
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
  Holding holding_;

  MemberId id_;
  Record record_;               // as the last call known to be done wrote it
  std::uint64_t modified_ = 0;  // by it; 0 = there is none
  Millis put_begun_ = -1;       // of the last such call; -1 = none

  Underway put_call_;
  Record put_;                   // that the call under way writes
  std::uint64_t put_epoch_ = 0;  // of the plan that it acknowledges; 0 = none
  Millis put_due_ = 0;           // the next, though nothing changed
  Millis put_soon_ = 0;          // the next, where what is told of the traffic did
  Millis put_again_ = 0;         // not before, whatever changed
  Millis lower_again_ = 0;       // not before, where it only lowers

  std::optional<Plan> plan_;  // the newest seen in this history
  std::uint64_t plan_modified_ = 0;
  bool plan_passed_ = false;  // the store has a newer one
};

}  // namespace shorelead::fleet
