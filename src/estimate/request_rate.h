// Moving average of the requests that arrive at this node in a period.
#pragma once

#include <algorithm>
#include <utility>

namespace shorelead::estimate {

class RequestRate {
 public:
  void add() { arrived_ += 1; }
  void close_period() {
    earlier_ = earlier_ * kDecay + std::exchange(arrived_, 0);
    periods_ = periods_ * kDecay + 1;
  }
  // Requests per period. Adds one request and one period, so that the rate is never 0.
  double per_period() const { return (earlier_ + arrived_ + 1) / (periods_ + 1); }
  // The same, with the current period, of which the share `part` has passed.
  double per_period(double part) const {
    return (earlier_ + arrived_ + 1) / (periods_ + std::max(kMinPart, part));
  }

 private:
  static constexpr double kDecay = 0.97;    // factor on earlier periods, per period
  static constexpr double kMinPart = 0.01;  // of a period: a shorter time gives no rate
  double arrived_ = 0;                      // requests in the current period
  double earlier_ = 0;                      // requests in earlier periods, decayed
  double periods_ = 0;                      // number of earlier periods, decayed
};

}  // namespace shorelead::estimate
