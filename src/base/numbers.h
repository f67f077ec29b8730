// Small figures over lists of numbers.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace shorelead {

// The upper median; 0 of an empty list.
inline double median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// Adds a value to a window of so many, oldest first.
inline void push(std::vector<double>& window, double value, std::size_t length) {
  if (window.size() == length) window.erase(window.begin());
  window.push_back(value);
}

}  // namespace shorelead
