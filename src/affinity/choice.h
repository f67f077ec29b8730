// Decides where a request that matched an affinity rule is sent, and when requests in flight for a closed
// slot are cancelled. Pure: takes the owner of the slot in the snapshot in force, the status of that unit and
// the time waited, and returns a decision. Owns the precedence:
//
//   rule 2 (repeats), rule 3 (draining), rule 4 (cold backends)   before   affinity   before   the policy's
//   own selection
//
// A request of a `must` rule is sent only to the one unit that is open for its slot in a snapshot that is
// known to be valid; without one it is refused, whatever other backends there are.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "affinity/rules.h"
#include "base/millis.h"
#include "fleet/plan.h"

namespace shorelead::affinity {

// The owner of a slot as the request path reads it: the unit by the host's own index.
struct SlotOwner {
  int unit = -1;  // -1: a unit that this process does not know
  bool open = false;
};

// A slot map prepared for look-ups by the control thread; immutable afterwards.
class SlotOwners {
 public:
  SlotOwners() = default;
  SlotOwners(const fleet::SlotMap& map, const std::function<int(const std::string&)>& index_of);

  bool any() const { return !owners_.empty(); }
  std::size_t size() const { return owners_.size(); }
  // One array access; no allocation, no lock. Requires any().
  SlotOwner at(std::uint64_t key) const { return owners_[slot_of(key, owners_.size())]; }

 private:
  std::vector<SlotOwner> owners_;
};

// The status of a slot's unit as this process sees it now. A cell or zone is kReady if any backend of it is.
enum class UnitStatus {
  kReady,
  kFull,      // cold with no slow-start budget left (rule 4), or its queue is over the bound
  kDraining,  // takes no new requests (rule 3)
  kGone,
};

enum class RoutingAction {
  kOnly,    // to this unit or to none
  kPrefer,  // to this unit, unless the policy decides against it
  kFree,    // routed as if there were no rule
  kWait,    // decide again when a snapshot or the backend changes, at the latest once `Rule::wait` is over
  kRefuse,  // reject at once
};

// The reason of a decision; each has a counter of that name.
enum class RoutingReason {
  kKept,       // sent to the unit that owns its key
  kNoKey,      // the rule matches, but the request has no key
  kNoMap,      // no plan has been in force here yet
  kNotValid,   // the store was unreachable for longer than the lease
  kClosed,     // its slot is being moved
  kUnknown,    // the plan names a unit that this process does not know yet
  kDraining,   // its backend drains and the plan has not moved the slot yet
  kGone,       // its backend is gone
  kFull,       // its backend is cold or over the bound
  kRepeat,     // a repeat that only another unit would deduplicate
  kQueueFull,  // the wait queue is full
};

struct RoutingQuery {
  const Rule* rule = nullptr;
  bool keyed = true;
  bool mapped = false;  // the snapshot in force has a map for the rule
  bool valid = false;   // checked now: fleet::Member::valid_until() is not over
  SlotOwner owner;
  UnitStatus status = UnitStatus::kReady;
  int repeat_at =
      -1;  // an earlier attempt may have run and only this unit drops the repeat; -1: none, or all units do
  Millis waited = 0;
};

struct Decision {
  RoutingAction action = RoutingAction::kFree;
  int unit = -1;  // kOnly, kPrefer
  RoutingReason reason = RoutingReason::kKept;

  bool operator==(const Decision&) const = default;
};

// Does not allocate. Returns kWait only for `must`, and only while `waited` is below `Rule::wait`; the caller
// then needs a place in its WaitQueue, and refuses with kQueueFull if there is none.
Decision choose(const RoutingQuery& query);

// Limits how many requests of a node wait for slots at a time, over all rules. Not thread-safe.
class WaitQueue {
 public:
  explicit WaitQueue(int limit) : limit_(limit) {}
  bool enter() { return inside_ < limit_ && ++inside_ > 0; }  // false: full, the request is rejected at once
  void leave() { --inside_; }
  int inside() const { return inside_; }

 private:
  const int limit_;
  int inside_ = 0;
};

// The requests in flight for a slot that the snapshot in force has closed, or whose snapshot expired.
struct InFlight {
  int count = 0;
  Millis closed_for = 0;  // time since the slot was closed here
  bool drains = false;    // its backend is draining
  bool valid = true;  // the snapshot is valid; once it is not, another process may open the slot elsewhere
};
// A process may acknowledge the epoch that closed a slot only once nothing is in flight for it. A cancelled
// request may have run (rule 2), and its backend may go on with it: nothing fences a backend. A `finish`
// longer than any request avoids that.
enum class Closing { kQuiet, kInFlight, kCancel };
Closing closing(const Rule& rule, const InFlight& in_flight);

}  // namespace shorelead::affinity
