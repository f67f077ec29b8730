// One process's side of the sharing: when it has a lease, which plan is in force, what its record says. Pure:
// events with the time in, calls to the store and snapshots for the traffic out. Owns that state and its
// order: lower, wait for the traffic, write the record, raise. It must never hand out a raise that no record
// has, nor count validity from the end of a call.
//
// Times are a clock's that goes on while the machine sleeps (CLOCK_BOOTTIME), in ms.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/millis.h"
#include "base/random.h"
#include "fleet/plan.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

// What traffic goes by; immutable once published.
struct Snapshot {
  std::uint64_t generation = 0;
  std::uint64_t incarnation = 0;  // whose validity counts
  std::uint64_t epoch = 0;
  Parts parts;
  CutOff cut_off;
  std::map<std::string, SlotMap> affinity;  // what may be used: closed slots closed, opened ones open
};

// What the traffic tells, read from its cells.
struct TrafficState {
  std::uint64_t generation = 0;          // of the snapshot in force there
  std::map<std::string, double> in_use;  // by budget of kind kAtOnce
  std::map<std::string, double> demand;  // by budget
  std::map<std::string, double> spent;   // by budget
  std::map<int, RankLoad> ranks;
  double room = 1;
  bool slots_quiet = true;  // nothing is under way in a slot that the snapshot in force has closed
};

// Calls to the store. Each is answered by exactly one event with the same `call`, or by Lost.
struct GrantLease {
  std::uint64_t call;
  Millis length;
};
struct RenewLease {
  std::uint64_t call;
  std::int64_t lease;
};
// Creates the record (`modified` == 0: only where there is none) or changes it (only where it was last
// modified at that revision), and only where the plan was last modified at `plan_modified` unless that is 0.
struct PutRecord {
  std::uint64_t call;
  std::int64_t lease;
  Record record;
  std::uint64_t modified;
  std::uint64_t plan_modified;
};
struct RevokeLease {
  std::uint64_t call;
  std::int64_t lease;
};
using MemberCall = std::variant<GrantLease, RenewLease, PutRecord, RevokeLease>;

struct Granted {
  std::uint64_t call;
  std::int64_t lease;
};
struct Renewed {
  std::uint64_t call;
  bool there;
};  // not there: it ran out, or the store forgot it
struct RecordPut {
  std::uint64_t call;
  bool done;
  std::uint64_t revision;
};  // not done: a comparison failed
struct Lost {
  std::uint64_t call;
};  // no answer, or one that cannot be read; it may have been done or not
struct PlanSeen {
  Plan plan;
  std::uint64_t modified;
};  // as a range or watch told it
struct Traffic {
  TrafficState state;
};
// Of every answer's header. Another cluster, or a revision under one heard before: a history was lost, and
// with it all that this process had.
struct Heard {
  std::uint64_t cluster;
  std::uint64_t revision;
};
struct Tick {};
struct Leave {};  // the process ends in good order
using MemberEvent = std::variant<Granted, Renewed, RecordPut, Lost, PlanSeen, Traffic, Heard, Tick, Leave>;

struct MemberOut {
  std::vector<MemberCall> calls;
  std::shared_ptr<const Snapshot> publish;  // null: nothing new
  Millis valid_until = 0;  // of the incarnation in `publish` or the one before; never falls for it
  Millis next = 0;         // tick again by then
};

struct MemberCounters {
  std::uint64_t joined = 0, lost = 0, refused = 0, epochs = 0, older = 0, unreadable = 0, name_taken = 0;
};

class Member {
 public:
  Member(std::string name, std::string zone, double weight, const Sharing& sharing,
         std::vector<Budget> budgets, std::uint64_t seed);

  MemberOut handle(const MemberEvent& event, Millis now);

  Millis valid_until() const;
  std::uint64_t incarnation() const;
  std::uint64_t epoch() const;  // in force whole
  const MemberCounters& counters() const { return counters_; }

 private:
  struct State;
  std::shared_ptr<State> state_;
  MemberCounters counters_;
};

}  // namespace shorelead::fleet
