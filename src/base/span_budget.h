// How many of something may happen within any span, also where that is less than one: then turns come at the
// rate that the part makes, and each is open for a while and then lost. Keeps no clock.
#pragma once

#include <cmath>
#include <utility>
#include <vector>

#include "base/millis.h"

namespace shorelead {

class SpanBudget {
 public:
  // From `now` on, `phase` (0 to 1) of a turn in, for what began at `since`. Told of the same again it goes
  // on: what was spent on it still counts.
  void begin(double phase, Millis now, Millis since) {
    if (at_ > 0 && since == since_) return;
    *this = SpanBudget();
    turns_ = phase, at_ = now, since_ = since;
  }
  // Whether one more may happen at `now` (never earlier than the last call's), so many being free in a span;
  // a turn is open for `open` of the time from one to the next.
  bool room(double budget, Millis span, double open, Millis now) {
    std::erase_if(spent_, [&](Millis t) { return now - t >= span; });
    turns_ += budget * (now - std::exchange(at_, now)) / span;
    if (budget >= 1) return budget - static_cast<double>(spent_.size()) >= 1;
    const double turn = std::floor(turns_);
    return turn > used_ && turns_ - turn < open;
  }
  void spend(Millis now) { spent_.push_back(now), used_ = std::floor(turns_); }

 private:
  std::vector<Millis> spent_;  // that still count
  double turns_ = 0;           // came by now,
  double used_ = -1;           // the last that was used
  Millis at_ = 0;              // and when this was worked out
  Millis since_ = 0;           // when what it is spent on began
};

}  // namespace shorelead
