// Events and calls between the member (member.h), the traffic and the client of the store. Plain data.
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

// What the traffic thread applies; immutable once published.
struct Snapshot {
  std::uint64_t generation = 0;   // unique within one process
  std::uint64_t incarnation = 0;  // usable only while this incarnation is valid
  std::uint64_t epoch = 0;        // of the plan fully in force
  Parts parts;
  CutOff cut_off;  // the last one in force; applies also while the store is unreachable
  std::map<std::string, SlotMap> affinity;  // open slots may be used
};

// What the traffic reports, read from its cells.
struct TrafficState {
  std::uint64_t generation = 0;          // of the snapshot in force on the traffic thread
  std::map<std::string, double> in_use;  // by budget of kind kAtOnce: AtOnceShare::beyond_reserve
  std::map<std::string, double> demand;  // by budget
  std::map<std::string, double> spent;   // by budget
  std::map<int, RankLoad> ranks;
  double room = 1;
  bool slots_quiet = true;  // no request in flight in a slot that the snapshot in force has closed
};

// Calls to the store. Each is answered by exactly one event with the same `call`, or by MemberCallLost, which
// the client also sends after its own timeout.
struct GrantLease {
  std::uint64_t call;
  Millis length;
};
struct RenewLease {
  std::uint64_t call;
  std::int64_t lease;
};
// In one transaction creates the record (`modified` == 0: only if there is none) or changes it (only if its
// modification revision is `modified`), and only if the plan's modification revision is `plan_modified`,
// unless that is 0. If a comparison fails it reads the record and the plan's modification revision instead.
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
  bool there;  // false: it expired, or the store lost it
  Header header;
};
struct RecordPut {
  std::uint64_t call;
  bool done;                    // false: a comparison failed
  std::uint64_t revision;       // done: new modification revision of the record
  std::optional<Record> own;    // not done: the record under this name; nullopt = none, or unreadable
  std::uint64_t own_modified;   // its modification revision; 0 = there is none
  std::uint64_t plan_modified;  // not done: modification revision of the plan
  Header header;
};
struct Revoked {
  std::uint64_t call;
  Header header;
};
struct MemberCallLost {
  std::uint64_t call;
};  // no answer, or an unreadable one; the call may or may not take effect, also later
struct PlanSeen {
  Plan plan;
  std::uint64_t modified;
  Header header;
  Millis begun;  // as in History::observe
};               // as read by a range or a watch
struct Traffic {
  TrafficState state;
};
// The header of any other answer.
struct HeaderObserved {
  Header header;
  Millis begun;
};
struct Tick {};
struct Leave {};  // the process shuts down gracefully
using MemberEvent = std::variant<Granted, Renewed, RecordPut, Revoked, MemberCallLost, PlanSeen, Traffic,
                                 HeaderObserved, Tick, Leave>;

struct MemberOut {
  std::vector<MemberCall> calls;
  std::shared_ptr<const Snapshot> publish;  // null: unchanged
  // The traffic uses a snapshot's parts and slots only while its incarnation is this one and the time read
  // for the request at hand is before `valid_until`. Both are published together.
  std::uint64_t incarnation = 0;
  Millis valid_until = 0;  // never falls while the incarnation is the same
  Millis next = 0;         // time by which the next Tick is due
};

}  // namespace shorelead::fleet
