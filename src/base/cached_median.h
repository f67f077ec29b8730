// A median over many figures that is recomputed only after a given share of them has changed.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/numbers.h"

namespace shorelead {

class CachedMedian {
 public:
  // `changes` counts all changes of figures so far. Calls `figures` for all of them and recomputes the median
  // once one figure in `parts` has changed since the last time; returns the cached median otherwise.
  template <typename Figures>
  double at(std::uint64_t changes, std::size_t parts, Figures figures) {
    if (changes < due_) return cached_;
    std::vector<double> all = figures();
    due_ = changes + all.size() / parts;
    return cached_ = median(std::move(all));
  }

 private:
  double cached_ = 0;
  std::uint64_t due_ = 0;  // count of changes at which it is recomputed
};

}  // namespace shorelead
