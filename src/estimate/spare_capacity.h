// Estimate of the unused share of a pool's capacity: from backends' reports of busy cores, or without reports
// from the share of attempts that backends reject.
#pragma once

#include <algorithm>

namespace shorelead::estimate {

class SpareCapacity {
 public:
  // Takes in a backend's share of busy cores; negative = not reported.
  void reported(double busy) {
    if (busy < 0) return;
    has_reports_ = true;
    unused_ += kGain * (1 - std::min(1.0, busy) - unused_);
  }
  void attempt_ended(bool rejected) { rejected_ += kGain * ((rejected ? 1 : 0) - rejected_); }

  double value() const { return has_reports_ ? unused_ : rejected_ > kFullShare ? 0 : 1; }

 private:
  static constexpr double kGain = 0.02;       // weight of one report: a mean over some fifty
  static constexpr double kFullShare = 0.05;  // over this share of rejected attempts no capacity is unused

  double unused_ = 1;
  double rejected_ = 0;
  bool has_reports_ = false;
};

}  // namespace shorelead::estimate
