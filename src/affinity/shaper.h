// Puts the slot maps into the plan and moves slots, for the process that plans. Pure: takes the standing
// plan, the records, the planner's own list of backends and the time, and returns the maps of the next plan.
// Owns the two phases of a move: a slot is never open at one backend while any process may still send to
// another.
//
//   open at A --close--> closed, to B, since epoch e --every record's epoch >= e--> open at B
//
// A record's epoch is that of the plan that its process has fully in force, with its closed slots quiet. A
// process that died has no record once its lease has expired, and by then knows itself that nothing is in
// force. A process at epoch 0 has no map in force and can only get that of the standing plan, since its
// record is compared with it (fleet/plan.h, rule 2). A closed slot may go back to A at once: it was open
// nowhere else. A map that is new to the plan begins closed likewise, since an older plan may have had it.
//
// Only the planner's list of backends counts, not that of any other process. A backend that this process has
// seen and that is no longer listed is lost: its slots move at once, or after `Rule::hold`
// (OnLoss::kRefuse). A planner that is new or lags must not take a backend that it has never seen for gone:
// the slots of such a backend stay for `unknown_for`, and meanwhile nothing moves for balance.
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

// A backend in the planner's list, including those that drain.
struct BackendStatus {
  std::string name, cell, zone;
  double weight = 1;  // its ALBL share, in any unit; 0 or less: no slots
  double warm = 1;    // the share of its capacity that it has now, 0 to 1
  bool draining = false;
  std::string pool{};  // empty: belongs to the pool of any rule
};

struct ShaperOptions {
  Millis unknown_for = 30000;  // how long slots of backends that this process has never seen stay
  std::size_t max_moves = 64;  // most slots of one rule that are closed for balance at a time
};

struct ShaperCounters {
  std::uint64_t closed = 0, opened = 0, returned = 0, held = 0, waiting = 0;
};

// Rounds a cold backend's share of its weight down to 1/2, 1/4 or 1/8, at least 1/8, so that slots move in
// few steps during slow start (rule 4).
double warm_step(double warm);

class Shaper : public fleet::PlanShaper {
 public:
  Shaper(std::vector<Rule> rules, const ShaperOptions& options)
      : rules_(std::move(rules)), options_(options) {}

  void set_rules(std::vector<Rule> rules) { rules_ = std::move(rules); }  // after a reload
  void set_backends(std::vector<BackendStatus> backends) { backends_ = std::move(backends); }

  // `next.epoch` is the epoch that the plan will be written with. If no slot moves, `next.affinity` equals
  // the standing plan's. O(rules x slots) if nothing moves.
  void shape(fleet::Plan& next, const fleet::Plan* standing, const std::vector<fleet::Record>& records,
             Millis now) override;

  const ShaperCounters& counters() const { return counters_; }

 private:
  struct Units;
  Units units_of(const Rule& rule) const;
  bool keeps_slots(const Rule& rule, const std::string& unit, const Units& units, Millis now);
  void prune(const std::map<std::string, fleet::SlotMap>& maps);
  fleet::SlotMap next_map(const Rule& rule, const fleet::SlotMap* standing, std::uint64_t epoch,
                          const std::vector<fleet::Record>& records, std::uint64_t standing_epoch,
                          Millis now);

  std::vector<Rule> rules_;
  ShaperOptions options_;
  std::vector<BackendStatus> backends_;
  std::set<std::pair<Scope, std::string>> seen_;  // units that this process has seen in the list
  std::map<std::pair<Scope, std::string>, Millis>
      missing_since_;                                // since when a unit that owns slots is not listed
  std::set<std::pair<Scope, std::string>> checked_;  // units of `missing_since_` found in this round
  std::map<std::pair<std::string, std::size_t>, Millis>
      quiet_since_;  // closed and acknowledged since (`dedup_window`)
  std::map<std::string, Millis>
      unused_since_;  // since when a map of the plan belongs to none of this process's rules
  ShaperCounters counters_;
};

// Whether the process of this record is known to have nothing open from plans before `since`. An epoch beyond
// the standing plan's comes from a history that the store has lost, and proves nothing.
bool acknowledged(const fleet::Record& record, std::uint64_t since, std::uint64_t standing_epoch);

// Returns the map with another number of slots; both numbers are powers of two. If it grows, each part has
// what the whole slot had; if it shrinks, a slot is open only if all its parts were, at one backend.
fleet::SlotMap resized(const fleet::SlotMap& map, std::size_t slots, std::uint64_t epoch);

}  // namespace shorelead::affinity
