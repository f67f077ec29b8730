// A cut-off as a single number, for the code that moves it and the code that compares with it. A request is
// at rank + 1 - sample, a cut-off at rank + 1 - share; requests above the level are rejected. So cut-offs are
// totally ordered whatever their rank, and lowering the level never admits a request that was rejected. Pure.
#pragma once

#include <algorithm>
#include <cmath>

#include "fleet/plan.h"

namespace shorelead::plans {

// `sample`: the stable sample, a number from 0, below 1, or a type that converts to one.
template <typename Sample>
bool is_cut(const fleet::CutOff& cut, int rank, const Sample& sample) {
  return rank > cut.rank || (rank == cut.rank && sample < cut.share);
}

// From 0 (all requests are rejected) to `ranks` (none is).
inline double level_of(const fleet::CutOff& cut, int ranks) {
  if (cut.rank >= ranks) return ranks;
  if (cut.rank < 0) return 0;
  return cut.rank + 1 - std::clamp(cut.share, 0.0, 1.0);
}

// Rounds to a thousandth of a rank, so that the text of a plan holds the exact value and equal cut-offs
// compare equal.
inline fleet::CutOff cut_at(double level, int ranks) {
  const double steps = std::round(std::clamp(level, 0.0, static_cast<double>(ranks)) * 1000);
  if (steps >= ranks * 1000.0) return {};
  const int rank = static_cast<int>(steps / 1000);
  return {rank, (1000 - (steps - rank * 1000.0)) / 1000};
}

}  // namespace shorelead::plans
