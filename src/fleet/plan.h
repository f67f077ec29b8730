// The two documents that processes share through a store of keys, and the invariant that they hold.
//
//   P/planner          under the planner's lease; its create revision is the fence
//   P/plan             the plan, one document
//   P/members/NAME     a process's record, under its lease
//
// The invariant, at every revision of the store, for every budget:
//
//   sum over processes of max(what its record says is in force, its share in the plan) <= whole - reserve
//
// and for every slot: all backends open for it in the plan, or in the plan of an epoch that a record says is
// in force, are one. It is kept by four rules, each of them a comparison in one transaction of the store:
//   1. A record changes only by a transaction that compares its own modification: who lost it (its lease ran
//      out, the store forgot its tail) has nothing.
//   2. A process raises a share, or opens a slot, only once a transaction has written that into its record
//   that
//      also compares the plan's modification: the plan was still this one.
//   3. A process lowers, and closes, as soon as it sees a plan; its record says so after the traffic does it
//      (what is in use at once has come down, nothing is under way in the slot).
//   4. A plan is written only by a transaction that compares the planner's creation and the plan's
//      modification, and gives nobody more than leaves max(record, old plan, new plan) of the others within
//      the whole (`division.h`).
// A process spends only while its record is surely there: until the lease's length, less drift and margin,
// after the last successful transaction or renewal was BEGUN, whichever of the two is older. So what the
// store has dropped is not spent by anybody, and what is in force is in the store.
//
// Pure data and its text (JSON). It must never read a document of a newer form, or a broken one, as if it
// were one of ours.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/millis.h"

namespace shorelead::fleet {

inline constexpr int kForm = 1;  // of both documents

// One budget's part. Whole units of `burst` where it is a rate; of `amount` otherwise.
struct Part {
  double amount = 0;  // a second, at once, or in a window
  double burst = 0;   // rates only

  bool operator==(const Part&) const = default;
};
using Parts = std::map<std::string, Part>;  // by budget's name

// NAME#INCARNATION: one run of one process.
struct MemberId {
  std::string name;
  std::uint64_t incarnation = 0;  // drawn at random when it joined; never used twice

  std::string text() const { return name + "#" + std::to_string(incarnation); }
  auto operator<=>(const MemberId&) const = default;
};

// What one process reports of one rank, of the last second or so.
struct RankLoad {
  double offered = 0;  // requests a second that came
  double taken = 0;    // of these, not turned away for a shortage
  double in_time = 0;  // answered within their aim
  double refused = 0;  // turned away for a shortage
  double failed = 0;   // taken, and too late, refused by backends or without an answer
};

// Which backend has a slot. A slot that moves is first closed, then opened elsewhere.
struct Slot {
  std::string backend;      // who has it, or had it last
  bool open = true;         // closed: nobody sends
  std::string to;           // closed: who opens next
  std::uint64_t since = 0;  // epoch of its last change; `to` opens once every record's epoch is as high

  bool operator==(const Slot&) const = default;
};

struct SlotMap {
  std::uint64_t backends = 0;  // hash of the backends and weights that it was made for
  std::vector<Slot> slots;     // a power of two of them, or none

  bool operator==(const SlotMap&) const = default;
};

// How much is shed in a shortage of the fleet: all requests of ranks below `rank` (larger numbers are lower
// ranks, shed first), and of `rank` those whose coin is under `share`.
struct CutOff {
  int rank = 1 << 30;  // nothing is shed
  double share = 0;

  bool operator==(const CutOff&) const = default;
};

struct Plan {
  std::uint64_t epoch = 0;              // one more than the plan before; also across planners
  std::uint64_t fence = 0;              // create revision of the planner's key that wrote it
  std::uint64_t history = 0;            // cluster it was written in; in any other it is a copy, and nobody's
  std::map<std::string, Part> wholes;   // it was made from
  std::map<std::string, Parts> shares;  // by MemberId::text()
  CutOff cut_off;
  std::map<std::string, SlotMap> affinity;  // by rule's name

  bool operator==(const Plan&) const = default;
};

struct Record {
  MemberId id;
  std::string zone;
  double weight = 1;
  std::uint64_t epoch = 0;  // of the plan that is in force whole, its closed slots quiet; 0 = none
  Parts in_force;           // what it may spend now, its reserve apart
  std::map<std::string, double> demand;  // by budget: wished for, a second, at once or in a window
  std::map<std::string, double> spent;   // by budget, likewise: really spent of late
  std::map<int, RankLoad> ranks;
  double room = 1;  // share of the backends' capacity that it sees unused, 0 to 1
};

std::string text_of(const Plan& plan);
std::string text_of(const Record& record);
// Nothing and the cause where the text is none, is of a newer form, or has a figure that is no number,
// negative, or beyond 1e12.
std::optional<Plan> parse_plan(std::string_view text, std::string& cause);
std::optional<Record> parse_record(std::string_view text, std::string& cause);

}  // namespace shorelead::fleet
