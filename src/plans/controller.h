// How far the cut-off is moved, and when. Pure: what the fleet says and whether the last move is in force,
// with the time in; a level (level.h) out. Owns the level and its trials; it must never look at a single
// record, nor take its own cut for the end of a shortage.
//
//   open ---- short for `confirm` ----> watching <---- short for `watch` ---- holding
//                                         |  ^                                 ^ |
//                          short: tighten |  | not short                       | | `hold` is over: loosen a
//                          step
//                                         +--+-------------------------> holding v
//                                          step back, hold twice as long <--- trial ---> good: hold as at
//                                          first
//
// Short: at every look within a span, as CoDel (Nichols and Jacobson, 2012) judges a queue by its least delay
// over an interval: stalls and bursts come and go within it, a standing shortage does not. Under a cut
// nothing looks short whatever the demand, so the end of a shortage is only found by trying: a step up, a
// look at what it does, and back if it was too much; each that fails doubles the time to the next. A move is
// judged only once it is in force and what it needs to show is over: the order lets the cut-off pass one rank
// in 2 s (admission.h).
#pragma once

#include <cstdint>

#include "base/millis.h"
#include "base/random.h"
#include "plans/shortage.h"

namespace shorelead::plans {

struct CutOffSettings {
  ShortageSettings shortage;
  Millis confirm = 3000;  // a shortage has to last before anything is cut; over 310 ms of stall and a report
  Millis watch = 2000;    // and before a cut is moved again
  Millis trial = 3000;    // a step up is good when it was not short for so long
  Millis hold = 10000;    // from a move to the next step up
  Millis brief_hold = 5500;  // the same while there is ample room
  Millis most_hold = 80000;
  double least_step = 0.05;   // of what is taken: by so much it is lowered or raised at least,
  double most_fall = 0.5;     // and at most in one step down,
  double most_rise = 0.3;     // and up
  double least_taken = 0.05;  // of what is offered: never cut deeper

  bool operator==(const CutOffSettings&) const = default;
};

struct CutOffCounters {
  std::uint64_t tightened = 0, loosened = 0, stepped_back = 0, adopted = 0;
};

class Controller {
 public:
  Controller(int ranks, const CutOffSettings& settings, std::uint64_t seed);

  // The level from now on. `in_force`: the last move has reached those it concerns.
  double see(const FleetView& view, bool in_force, Millis now);
  // Goes on from a level that another has set: held like one of its own.
  void adopt(double level, Millis now);

  double level() const { return level_; }
  const CutOffCounters& counters() const { return counters_; }

 private:
  void move(double level, const FleetView& view, Millis now);
  void tighten(const FleetView& view, Millis now);
  void loosen(const FleetView& view, Millis now);
  bool settled(bool in_force, Millis now);

  const int ranks_;
  const CutOffSettings settings_;
  Random random_;
  double level_;
  double before_ = 0;  // the trial under way, where there is one
  bool trial_ = false;
  double rise_;
  Millis hold_;
  double best_ = 0;  // most answered in time of late, a second: what the fleet could do
  Millis seen_at_ = -1;
  Millis moved_at_ = -1;
  Millis in_force_at_ = -1;
  Millis settled_at_ = -1;   // -1: the last move cannot be judged yet
  Millis short_since_ = -1;  // at every look since
  Millis settle_ = 0;
  CutOffCounters counters_;
};

// What is taken at a level of what is offered, and the level at which so much is: never lower than 0 or
// higher than the number of ranks.
double taken_at(const std::vector<double>& offered, double level);
double level_for(const std::vector<double>& offered, double taken);

}  // namespace shorelead::plans
