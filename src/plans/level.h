// A cut-off as one number, for who moves it and who compares with it. A request stands at rank + 1 - coin, a
// cut-off at rank + 1 - share; what stands above the level goes. So cut-offs have one order, whatever their
// rank, and lowering the level never takes in somebody who was out. Pure.
#pragma once

#include <algorithm>
#include <cmath>

#include "fleet/plan.h"

namespace shorelead::plans {

// `coin`: a number from 0, under 1, or what becomes one when it is asked.
template <typename Coin>
bool is_cut(const fleet::CutOff& cut, int rank, const Coin& coin) {
  return rank > cut.rank || (rank == cut.rank && coin < cut.share);
}

// From 0 (all goes) to `ranks` (nothing does).
inline double level_of(const fleet::CutOff& cut, int ranks) {
  if (cut.rank >= ranks) return ranks;
  if (cut.rank < 0) return 0;
  return cut.rank + 1 - std::clamp(cut.share, 0.0, 1.0);
}

// In steps of a thousandth of a rank, so that the text of a plan says just this and equal ones compare equal.
inline fleet::CutOff cut_at(double level, int ranks) {
  const double steps = std::round(std::clamp(level, 0.0, static_cast<double>(ranks)) * 1000);
  if (steps >= ranks * 1000.0) return {};
  const int rank = static_cast<int>(steps / 1000);
  return {rank, (1000 - (steps - rank * 1000.0)) / 1000};
}

}  // namespace shorelead::plans
