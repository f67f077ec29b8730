// What passes between a process's side of the sharing (member.h), its traffic and its client of the store.
// Pure data.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/millis.h"
#include "fleet/history.h"
#include "fleet/plan.h"

namespace shorelead::fleet {

// What traffic goes by; immutable once published.
struct Snapshot {
  std::uint64_t generation = 0;   // never the same twice in one process
  std::uint64_t incarnation = 0;  // whose validity counts; with any other's nothing of it may be used
  std::uint64_t epoch = 0;        // of the plan in force whole
  Parts parts;
  CutOff cut_off;                           // the last one in force; it goes on without the store
  std::map<std::string, SlotMap> affinity;  // what may be used: closed slots closed, opened ones open
};

// What the traffic tells, read from its cells.
struct TrafficState {
  std::uint64_t generation = 0;          // of the snapshot in force there
  std::map<std::string, double> in_use;  // by budget of kind kAtOnce: AtOnceShare::beyond_reserve
  std::map<std::string, double> demand;  // by budget
  std::map<std::string, double> spent;   // by budget
  std::map<int, RankLoad> ranks;
  double room = 1;
  bool slots_quiet = true;  // nothing is under way in a slot that the snapshot in force has closed
};

// Calls to the store. Each is answered by exactly one event with the same `call`, or by Lost; the client
// gives up by itself after a while, and tells Lost.
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
// One transaction; where a comparison fails it reads the record and the plan's modification instead.
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
  Header header;
};
struct Renewed {
  std::uint64_t call;
  bool there;  // no: it ran out, or the store forgot it
  Header header;
};
struct RecordPut {
  std::uint64_t call;
  bool done;                    // no: a comparison failed
  std::uint64_t revision;       // done: of the record's modification
  std::optional<Record> own;    // not done: what stands under the name; none = nothing, or unreadable
  std::uint64_t own_modified;   // and when it was modified; 0 = nothing stands there
  std::uint64_t plan_modified;  // not done: when the plan was
  Header header;
};
struct Revoked {
  std::uint64_t call;
  Header header;
};
struct Lost {
  std::uint64_t call;
};  // no answer, or one that cannot be read; it may have been done or not, or be done later
struct PlanSeen {
  Plan plan;
  std::uint64_t modified;
  Header header;
  Millis begun;  // as in History::heard
};               // as a range or watch told it
struct Traffic {
  TrafficState state;
};
// Any other answer.
struct Heard {
  Header header;
  Millis begun;
};
struct Tick {};
struct Leave {};  // the process ends in good order
using MemberEvent =
    std::variant<Granted, Renewed, RecordPut, Revoked, Lost, PlanSeen, Traffic, Heard, Tick, Leave>;

struct MemberOut {
  std::vector<MemberCall> calls;
  std::shared_ptr<const Snapshot> publish;  // null: nothing new
  // The traffic uses a snapshot's parts and slots only while both hold: its incarnation is this one, and the
  // time read at the request at hand is under `valid_until`. They are told together.
  std::uint64_t incarnation = 0;
  Millis valid_until = 0;  // never falls while the incarnation is the same
  Millis next = 0;         // tick again by then
};

}  // namespace shorelead::fleet
