// Functions on vectors of numbers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace shorelead {

// The upper median; 0 for an empty vector.
inline double median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// Adds a value to a sliding window of at most `length` values, oldest first.
inline void push(std::vector<double>& window, double value, std::size_t length) {
  if (window.size() == length) window.erase(window.begin());
  window.push_back(value);
}

// Scales positive numbers to sum 1 with each at most its bound; what a bound cuts off is given to the others
// in proportion. If the bounds' sum is under 1, each value becomes its bound.
inline void scale_to_one(std::vector<double>& values, const std::vector<double>& bounds) {
  std::vector<char> bound(values.size(), 0);
  for (double free = 1;;) {
    double sum = 0;
    for (std::size_t n = 0; n < values.size(); ++n) sum += bound[n] ? 0 : values[n];
    if (sum <= 0) return;
    const double scale = free / sum;
    bool cut = false;
    for (std::size_t n = 0; n < values.size(); ++n) {
      if (bound[n] || values[n] * scale < bounds[n]) continue;
      values[n] = bounds[n];
      free -= bounds[n];
      bound[n] = 1;
      cut = true;
    }
    if (!cut) {
      for (std::size_t n = 0; n < values.size(); ++n) values[n] *= bound[n] ? 1 : scale;
      return;
    }
    free = std::max(0.0, free);
  }
}

}  // namespace shorelead
