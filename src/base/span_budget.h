// Limits how many events may happen within any span of time. The budget may be under one event a span: then
// turns come at that rate, and each one can be used for a while and is lost after that. Reads no clock.
#pragma once

#include <cmath>
#include <utility>
#include <vector>

#include "base/millis.h"

namespace shorelead {

class SpanBudget {
 public:
  // Starts the budget at `now` for what began at `since`, with the share `phase` (0 to 1) of a turn passed.
  // Called again with the same `since` it changes nothing, so events that were spent still count.
  void begin(double phase, Millis now, Millis since) {
    if (at_ > 0 && since == since_) return;
    *this = SpanBudget();
    turns_ = phase, at_ = now, since_ = since;
  }
  // Whether one more event may happen at `now` (not before the last call's), with `budget` events a span. A
  // turn can be used for the share `open` of the time to the next one.
  bool available(double budget, Millis span, double open, Millis now) {
    std::erase_if(spent_, [&](Millis t) { return now - t >= span; });
    turns_ += budget * (now - std::exchange(at_, now)) / span;
    if (budget >= 1) return budget - static_cast<double>(spent_.size()) >= 1;
    const double turn = std::floor(turns_);
    return turn > used_ && turns_ - turn < open;
  }
  void spend(Millis now) { spent_.push_back(now), used_ = std::floor(turns_); }

 private:
  std::vector<Millis> spent_;  // times of the events that still count
  double turns_ = 0;           // that have come by at_
  double used_ = -1;           // number of the last turn that was used
  Millis at_ = 0;              // time of the last update
  Millis since_ = 0;           // start of what the budget is for
};

}  // namespace shorelead
