// Where one request goes that a rule of affinity took, and when what is under way in a closed slot is over.
// Pure: the seat of its slot in the snapshot in force, the state of the backend there and the time waited in,
// a decision out. Owns the order of what counts:
//
//   rule 2 (repeats), rule 3 (drains), rule 4 (cold backends)   before   affinity   before   the module's
//   judgement
//
// It must never send a request of a `must` rule but to the one unit that is open for its slot in a snapshot
// that is surely valid: without one it is refused, whatever else is there.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "affinity/rules.h"
#include "base/millis.h"
#include "fleet/plan.h"

namespace shorelead::affinity {

// A slot as traffic reads it: the unit by the host's own index.
struct Seat {
  int unit = -1;  // -1: one that this process does not know
  bool open = false;
};

// A map made ready for look-ups, by the control thread; then immutable.
class Seats {
 public:
  Seats() = default;
  Seats(const fleet::SlotMap& map, const std::function<int(const std::string&)>& index_of);

  bool any() const { return !seats_.empty(); }
  std::size_t size() const { return seats_.size(); }
  // One look-up; no allocation, no lock. Only where any().
  Seat at(std::uint64_t key) const { return seats_[slot_of(key, seats_.size())]; }

 private:
  std::vector<Seat> seats_;
};

// The unit of the seat as this process sees it now. Of a cell or zone: kReady where any backend of it is.
enum class Standing {
  kReady,
  kFull,      // cold, and takes no more now (rule 4); or its queue is over the bound
  kDraining,  // nothing new goes there (rule 3)
  kGone,
};

enum class Go {
  kOnly,    // to this unit or nowhere
  kPrefer,  // to this unit, unless the module's judgement is against it
  kFree,    // as if there were no rule
  kWait,    // ask again when a snapshot or the backend changes, at the latest once `Rule::wait` is over
  kRefuse,  // answer at once
};

// Why, each a counter of that name.
enum class Why {
  kKept,       // it goes where its key belongs
  kNoKey,      // the rule takes it, but it has no key
  kNoMap,      // no plan was ever in force here
  kNotValid,   // the store was away for longer than the lease
  kClosed,     // its slot moves
  kUnknown,    // the plan names a unit that this process does not know yet
  kDraining,   // its backend drains, the plan has not moved it yet
  kGone,       // its backend is gone
  kFull,       // its backend is cold or over the bound
  kRepeat,     // a repeat that only another unit would drop
  kQueueFull,  // as many wait as may
};

struct Ask {
  const Rule* rule = nullptr;
  bool keyed = true;
  bool mapped = false;  // there is a map in the snapshot in force
  bool valid = false;   // looked at now: fleet::Member::valid_until() is not over
  Seat seat;
  Standing standing = Standing::kReady;
  int repeat_at =
      -1;  // an earlier send may have run, and only this unit drops the repeat; -1: none, or all do
  Millis waited = 0;
};

struct Decision {
  Go go = Go::kFree;
  int unit = -1;  // kOnly, kPrefer
  Why why = Why::kKept;

  bool operator==(const Decision&) const = default;
};

// No allocation. kWait only for `must`, and only while `waited` is under the rule's; the caller then needs a
// place in its WaitingRoom, and refuses with kQueueFull where there is none.
Decision choose(const Ask& ask);

// How many requests of a node may wait for slots at a time, of all rules together. One thread.
class WaitingRoom {
 public:
  explicit WaitingRoom(int most) : most_(most) {}
  bool enter() { return inside_ < most_ && ++inside_ > 0; }  // false: it is full, answer at once
  void leave() { --inside_; }
  int inside() const { return inside_; }

 private:
  const int most_;
  int inside_ = 0;
};

// What is under way in a slot that the snapshot in force has closed, or whose validity ran out.
struct UnderWay {
  int count = 0;
  Millis closed_for = 0;  // since the slot closed here
  bool drains = false;    // its backend does
  bool valid = true;      // the snapshot is; after that another process may open the slot elsewhere
};
// The record may say the epoch that closed a slot only once that is quiet. What is called off may have run
// (rule 2), and a backend may go on with it: nothing fences a backend. `finish` longer than any request
// avoids it.
enum class Closing { kQuiet, kUnderWay, kCallOff };
Closing closing(const Rule& rule, const UnderWay& under_way);

}  // namespace shorelead::affinity
