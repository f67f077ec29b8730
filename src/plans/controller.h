// The controller of the cut-off: how far it is moved, and when. Pure: takes the view of the fleet, whether
// the last move is in force and the time, and returns a level (level.h). Owns the level and its trials. It
// looks at no single record, and does not take the effect of its own cut for the end of a shortage.
//
//   open ---- short for `confirm` ----> watching <---- short for `watch` ---- holding
//                                         |  ^                                 ^ |
//                          short: tighten |  | not short                       | | `hold` over: loosen
//                                         +--+-------------------------> holding v
//                                      step back, hold twice as long <--- trial ---> good: `hold` as at first
//
// Short means short at every observation within a span, as CoDel (Nichols and Jacobson, 2012) judges a queue
// by its least delay over an interval: stalls and bursts come and go within it, a standing shortage does not.
// Under a cut nothing looks short whatever the demand, so the end of a shortage is only found by trial: raise
// the level by a step, observe the effect, and step back if it was too much; each failed trial doubles the
// time to the next. A move is judged only once it is in force and its effect can be seen: the order lets the
// cut-off pass one rank in 2 s (admission.h).
#pragma once

#include <cstdint>

#include "base/millis.h"
#include "base/random.h"
#include "plans/shortage.h"

namespace shorelead::plans {

struct CutOffSettings {
  ShortageSettings shortage;
  Millis confirm = 3000;  // how long a shortage lasts before a first cut; over a 310 ms stall and one report
  Millis watch = 2000;    // how long it lasts before a cut is tightened again
  Millis trial = 3000;    // a step up has succeeded if there was no shortage for this long
  Millis hold = 10000;    // time from a move to the next step up
  Millis brief_hold = 5500;  // the same while the backends have ample room
  Millis max_hold = 80000;
  double min_step = 0.05;      // smallest step down or up, as a share of the admitted load
  double max_step_down = 0.5;  // largest step down
  double max_step_up = 0.3;    // largest step up
  double min_admitted = 0.05;  // share of the offered load that is always admitted

  bool operator==(const CutOffSettings&) const = default;
};

struct CutOffCounters {
  std::uint64_t tightened = 0, loosened = 0, stepped_back = 0, adopted = 0;
};

class Controller {
 public:
  Controller(int ranks, const CutOffSettings& settings, std::uint64_t seed);

  // Returns the level from now on. `in_force`: the last move has reached the processes it concerns.
  double observe(const FleetView& view, bool in_force, Millis now);
  // Continues from a level that another controller has set, and holds it like one of its own.
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
  double level_before_trial_ = 0;  // the level before the present trial
  bool trial_ = false;
  double step_up_;
  Millis hold_;
  double peak_in_time_ = 0;  // recent peak of requests answered in time, per second: the fleet's capacity
  Millis observed_at_ = -1;
  Millis moved_at_ = -1;
  Millis in_force_at_ = -1;
  Millis settled_at_ = -1;   // -1: the last move cannot be judged yet
  Millis short_since_ = -1;  // short at every observation since
  Millis settle_ = 0;
  CutOffCounters counters_;
};

// The load admitted at a level, and the level at which a load is admitted: at least 0, at most the number of
// ranks.
double taken_at(const std::vector<double>& offered, double level);
double level_for(const std::vector<double>& offered, double taken);

}  // namespace shorelead::plans
