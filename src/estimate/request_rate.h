// How many requests come to this node a second, over a fading past. It keeps count only.
#pragma once

#include <algorithm>
#include <utility>

namespace shorelead::estimate {

class RequestRate {
 public:
  void add() { arrived_ += 1; }
  // A period of so many seconds is over.
  void close_period() {
    seen_ = seen_ * kMemory + std::exchange(arrived_, 0);
    periods_ = periods_ * kMemory + 1;
  }
  // Requests a period; one more than came, in one more period, so that it is never 0.
  double per_period() const { return (seen_ + arrived_ + 1) / (periods_ + 1); }
  // The same where that part of this period is over; one more than came.
  double per_period(double part) const {
    return (seen_ + arrived_ + 1) / (periods_ + std::max(kLeastPart, part));
  }

 private:
  static constexpr double kMemory = 0.97;     // kept of the past in each period
  static constexpr double kLeastPart = 0.01;  // of a period: what came in less tells no rate
  double arrived_ = 0;                        // in this period
  double seen_ = 0;                           // before, fading
  double periods_ = 0;                        // and in how many, fading likewise
};

}  // namespace shorelead::estimate
