#include "limits/response_deadline.h"

#include <algorithm>

namespace shorelead::limits {

ResponseDeadline::ResponseDeadline(Millis due, std::optional<std::uint64_t> length, Millis now)
    : due_(due), stated_long_(length && *length > kLongBody), begun_(now), last_received_(now) {}

void ResponseDeadline::received(std::size_t bytes, Millis now) {
  if (bytes == 0) return;
  received_ += bytes;
  last_received_ = now;
}

Millis ResponseDeadline::expires_at() const {
  const Millis late = due_ + kLateResponse;
  if (received_ == 0) return late;
  if (stated_long_ || received_ > kLongBody) return std::max(late, last_received_ + kMaxPauseOfLong);
  const Millis behind_pace = begun_ + static_cast<double>(received_) / kMinLongPace;
  return std::max(late, std::min(behind_pace, last_received_ + kMaxPause));
}

}  // namespace shorelead::limits
