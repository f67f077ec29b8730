#include "net/clock_history.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace shorelead::net {
namespace {

constexpr Millis kMinStep = 100;       // above slewing and the time between two readings
constexpr Millis kMaxSkew = 1000;      // allowed difference between the clocks of machines
constexpr std::size_t kMaxSteps = 64;  // kept; older ones are forgotten

}  // namespace

void ClockHistory::observe(Millis steady, Millis wall) {
  // At the start both times are equal, except for the time between the two readings.
  const Millis offset = std::abs(wall - steady) < kMinStep ? 0 : wall - steady;
  if (offsets_.empty() || std::abs(offset - offsets_.back().value) >= kMinStep) {
    if (offsets_.size() == kMaxSteps) offsets_.erase(offsets_.begin());
    offsets_.push_back({offset, steady, steady});
  }
  offsets_.back().last = steady;
}

Millis ClockHistory::to_steady(Millis label, Millis now) const {
  constexpr Millis kNone = -std::numeric_limits<Millis>::infinity();
  Millis fitting = kNone;   // within the period of its offset
  Millis possible = kNone;  // not in the future
  for (std::size_t n = 0; n < offsets_.size(); ++n) {
    const Millis at = label - offsets_[n].value;
    if (at > now + kMaxSkew) continue;
    possible = std::max(possible, at);
    const bool begun = n == 0 || at >= offsets_[n - 1].last - kMinStep;
    const bool over = n + 1 < offsets_.size() && at > offsets_[n + 1].first + kMinStep;
    if (begun && !over) fitting = std::max(fitting, at);
  }
  if (fitting != kNone) return fitting;
  return possible != kNone ? possible : now;
}

Millis ClockHistory::to_wall(Millis steady) const {
  Millis offset = 0;
  for (const Offset& one : offsets_) {
    if (&one == &offsets_.front() || one.first <= steady) offset = one.value;
  }
  return steady + offset;
}

}  // namespace shorelead::net
