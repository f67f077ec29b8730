// Puts the maps of slots into the plan and moves them, for the process that plans. Pure: the plan that
// stands, the records, its own list of backends and the time in, the next plan's maps out. Owns the two
// phases of a move; it must never have a slot open at one backend while any process may still send to
// another.
//
//   open at A --close--> closed, to B, since epoch e --every record's epoch >= e--> open at B
//
// A record's epoch is the plan that this process has in force whole, its closed slots quiet; one that died
// has no record, once its lease ran out, and by then knows itself that nothing is in force. Epoch 0 has no
// map in force, and can get none but of the plan that stands: its record is compared with it (fleet/plan.h,
// rule 2). Back to A a closed slot may go at once: nobody had it open elsewhere. A map that is new to the
// plan begins closed likewise, since an older plan may have had it.
//
// What of the backends' list? The planner's counts, no other process's. A backend that this process has seen
// and that is no longer listed is lost: its slots move at once, or after `Rule::hold` (OnLoss::kRefuse). Of a
// backend that has slots and that this process has never seen, a planner that is new or lags must not say
// that it is gone: its slots stay for `unknown_for` first, and meanwhile nothing moves for balance.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "affinity/rules.h"
#include "affinity/slots.h"
#include "base/millis.h"
#include "fleet/plan.h"
#include "fleet/planner.h"

namespace shorelead::affinity {

// A backend in the planner's list, those that drain too.
struct BackendSeen {
  std::string name, cell, zone;
  double weight = 1;  // its ALBL share, in any measure; 0 or less: no slots
  double warm = 1;    // share of its capacity that it has now, 0 to 1
  bool draining = false;
  std::string pool{};  // empty: of any rule's
};

struct ShaperOptions {
  Millis unknown_for = 30000;   // slots of backends that this process has never seen stay so long
  std::size_t most_moves = 64;  // slots of one rule that may be closed for balance at a time
};

struct ShaperCounters {
  std::uint64_t closed = 0, opened = 0, returned = 0, held = 0, waiting = 0;
};

// A cold backend has 1/8, 1/4, 1/2 of its weight, whatever is next under what it can do (rule 4: by steps).
double warm_step(double warm);

class Shaper : public fleet::PlanShaper {
 public:
  Shaper(std::vector<Rule> rules, const ShaperOptions& options)
      : rules_(std::move(rules)), options_(options) {}

  void set(std::vector<Rule> rules) { rules_ = std::move(rules); }  // after a reload
  void see(std::vector<BackendSeen> backends) { backends_ = std::move(backends); }

  // `next.epoch` is the one it will be written as. Where nothing is to move, `next.affinity` is the standing
  // plan's. O(rules x slots) in calm.
  void shape(fleet::Plan& next, const fleet::Plan* standing, const std::vector<fleet::Record>& records,
             Millis now) override;

  const ShaperCounters& counters() const { return counters_; }

 private:
  struct Units;
  Units units_of(const Rule& rule) const;
  bool stays(const Rule& rule, const std::string& unit, const Units& units, Millis now);
  void forget(const std::map<std::string, fleet::SlotMap>& maps);
  fleet::SlotMap shaped(const Rule& rule, const fleet::SlotMap* standing, std::uint64_t epoch,
                        const std::vector<fleet::Record>& records, std::uint64_t standing_epoch, Millis now);

  std::vector<Rule> rules_;
  ShaperOptions options_;
  std::vector<BackendSeen> backends_;
  std::set<std::pair<To, std::string>> known_;                   // units that this process has seen listed
  std::map<std::pair<To, std::string>, Millis> missing_;         // since when a unit with slots is not listed
  std::set<std::pair<To, std::string>> met_;                     // of those, met in this round
  std::map<std::pair<std::string, std::size_t>, Millis> quiet_;  // closed and acknowledged since (`still`)
  std::map<std::string, Millis> unused_;  // maps of rules that this process does not have
  ShaperCounters counters_;
};

// Whether this process surely has nothing open of plans before `since`. An epoch beyond the plan that stands
// is of a history that was lost: of it nothing is sure.
bool acknowledged(const fleet::Record& record, std::uint64_t since, std::uint64_t standing_epoch);

// The same map with another number of slots, both powers of two. Doubled, each half has what the whole had;
// halved, a slot is open only where both halves were, at one backend.
fleet::SlotMap resized(const fleet::SlotMap& map, std::size_t slots, std::uint64_t epoch);

}  // namespace shorelead::affinity
