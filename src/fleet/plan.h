// The two documents that processes share through a key-value store (etcd), and the invariant they maintain.
//
//   P/planner          under the planner's lease; its create revision is the fencing token
//   P/plan             the plan, one document
//   P/members/NAME     the record of one process, under its own lease
//
// The invariant, at every revision of the store, for every budget:
//
//   sum over processes of max(share in force by its record, its share in the plan) <= whole - reserve
//
// and for every slot at most one backend is open, over the current plan and every plan whose epoch a record
// reports as in force. Four rules maintain it, each a comparison in one transaction of the store:
//   1. A record is changed only by a transaction that compares its own modification revision. A process whose
//      record is gone (its lease expired, or the store lost its latest writes) has no share.
//   2. A process raises a share or opens a slot only after a transaction has written that into its record.
//      The transaction also compares the plan's modification revision, so the plan was still current.
//   3. A process lowers shares and closes slots as soon as it sees a plan. Its record reports that only after
//      the traffic has followed (concurrent use has come down, no request is in flight in the slot).
//   4. A plan is written only by a transaction that compares the planner key's create revision and the plan's
//      modification revision. No process gets more than what remains of the whole after
//      max(record, old plan, new plan) of all others (`division.h`).
// A process spends only while its record is certain to exist: until the lease length, less drift and margin,
// after the START of its last successful transaction or renewal, whichever is older. So no process spends
// what the store has dropped, and everything in force is in the store.
//
// Plain data and its JSON text. A document of a newer format version, or a malformed one, is rejected.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/millis.h"

namespace shorelead::fleet {

inline constexpr int kFormatVersion = 1;  // of both documents

// One process's part of a budget. In whole units: of `burst` for a rate, of `amount` otherwise.
struct Part {
  double amount = 0;  // per second, concurrent, or per window
  double burst = 0;   // rates only

  bool operator==(const Part&) const = default;
};
using Parts = std::map<std::string, Part>;  // by budget's name

// NAME#INCARNATION: one run of one process.
struct MemberId {
  std::string name;
  std::uint64_t incarnation = 0;  // random, drawn on joining; never reused

  std::string text() const { return name + "#" + std::to_string(incarnation); }
  auto operator<=>(const MemberId&) const = default;
};

// What one process reports about one rank, over roughly the last second.
struct RankLoad {
  double offered = 0;  // requests received per second
  double taken = 0;    // of these, not rejected by load shedding
  double in_time = 0;  // answered within the target latency of their class
  double refused = 0;  // rejected by load shedding
  double failed = 0;   // accepted, but late, refused by backends or unanswered
};

// The backend that a slot is assigned to. A slot that moves is first closed, then opened on the new backend.
struct Slot {
  std::string backend;      // current owner, or the last one if closed
  bool open = true;         // false: no process sends to it
  std::string to;           // closed: the next owner
  std::uint64_t since = 0;  // epoch of its last change; `to` opens once all records have reached it

  bool operator==(const Slot&) const = default;
};

struct SlotMap {
  std::uint64_t backends = 0;  // hash of the backends and weights it was computed for
  std::vector<Slot> slots;     // empty, or a power of two in number

  bool operator==(const SlotMap&) const = default;
};

// How much is shed while the fleet is overloaded: all requests of ranks below `rank` (larger numbers are
// lower ranks and are shed first), and of `rank` itself those whose random draw is under `share`.
struct CutOff {
  int rank = 1 << 30;  // nothing is shed
  double share = 0;

  bool operator==(const CutOff&) const = default;
};

struct Plan {
  std::uint64_t epoch = 0;    // one more than that of the previous plan, also when the planner changes
  std::uint64_t fence = 0;    // create revision of the planner key it was written under
  std::uint64_t history = 0;  // id of the cluster it was written in; in another cluster it is a restored copy
  std::map<std::string, Part> wholes;   // the totals it was computed from
  std::map<std::string, Parts> shares;  // by MemberId::text()
  CutOff cut_off;
  std::map<std::string, SlotMap> affinity;  // by rule's name

  bool operator==(const Plan&) const = default;
};

struct Record {
  MemberId id;
  std::string zone;
  double weight = 1;
  std::uint64_t epoch = 0;  // of the plan fully in force, with no request in its closed slots; 0 = none
  Parts in_force;           // what it may spend now, not counting its reserve
  std::map<std::string, double> demand;  // by budget: wanted per second, concurrently or per window
  std::map<std::string, double> spent;   // by budget, likewise: recently spent
  std::map<int, RankLoad> ranks;
  double room = 1;  // unused fraction of the backends' capacity as it sees it, 0 to 1
};

std::string text_of(const Plan& plan);
std::string text_of(const Record& record);
// nullopt with the cause if the text is malformed, is of a newer format version, or has a figure that is not
// a number, is negative, or exceeds 1e12.
std::optional<Plan> parse_plan(std::string_view text, std::string& cause);
std::optional<Record> parse_record(std::string_view text, std::string& cause);

}  // namespace shorelead::fleet
