// Latencies in a histogram on a logarithmic axis (Boost.Histogram): bins of 1%, from 10 us to 100 s, so that
// a quantile read from it is within 0.5% of the true one, whatever was put in. It must never keep single
// values.
#pragma once

#include <boost/histogram.hpp>
#include <cmath>

#include "base/millis.h"

namespace shorelead::lab {

class LatencyHistogram {
 public:
  static constexpr double kRelativeError = 0.005;

  LatencyHistogram()
      : bins_(boost::histogram::make_histogram(Axis(
            static_cast<unsigned>(std::ceil(std::log(kMost / kLeast) / std::log(1 + 2 * kRelativeError))),
            kLeast, kMost))) {}

  void note(Millis value) {
    bins_(value);
    ++count_;
  }
  std::size_t count() const { return count_; }

  // Nearest rank. Values beyond the axis count as its ends; 0 where there is none.
  Millis quantile(double share) const {
    if (count_ == 0) return 0;
    const auto wanted = static_cast<double>(std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(share * static_cast<double>(count_) - 1e-9))));
    double seen = bins_.at(-1);
    if (seen >= wanted) return kLeast;
    for (int n = 0; n < bins_.axis().size(); ++n) {
      seen += bins_.at(n);
      if (seen >= wanted) return std::sqrt(bins_.axis().value(n) * bins_.axis().value(n + 1));
    }
    return kMost;
  }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  static constexpr Millis kLeast = 0.01;
  static constexpr Millis kMost = 100000;
  decltype(boost::histogram::make_histogram(std::declval<Axis>())) bins_;
  std::size_t count_ = 0;
};

}  // namespace shorelead::lab
