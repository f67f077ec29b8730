// A median over many figures that is worked out anew only now and then.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/numbers.h"

namespace shorelead {

class KeptMedian {
 public:
  // `changes` counts what came since the beginning. Good until one change in `parts` figures has come;
  // `figures` is asked for all of them only then.
  template <typename Figures>
  double at(std::uint64_t changes, std::size_t parts, Figures figures) {
    if (changes < due_) return kept_;
    std::vector<double> all = figures();
    due_ = changes + all.size() / parts;
    return kept_ = median(std::move(all));
  }

 private:
  double kept_ = 0;
  std::uint64_t due_ = 0;
};

}  // namespace shorelead
