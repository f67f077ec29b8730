#include "lab/clock.h"

#include <algorithm>

namespace shorelead::lab {
namespace {

template <typename Clock>
Millis read() {
  return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
}

Millis offset() {
  static const Millis value = read<std::chrono::system_clock>() - read<std::chrono::steady_clock>();
  return value;
}

}  // namespace

Millis clock_now() { return offset() + read<std::chrono::steady_clock>(); }

std::chrono::steady_clock::time_point clock_point(Millis at) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double, std::milli>(at - offset())));
}

Millis Lateness::worst() const { return all_.empty() ? 0 : *std::max_element(all_.begin(), all_.end()); }

Millis Lateness::quantile(double share) const {
  if (all_.empty()) return 0;
  std::vector<float> sorted = all_;
  const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + place, sorted.end());
  return sorted[static_cast<std::size_t>(place)];
}

}  // namespace shorelead::lab
