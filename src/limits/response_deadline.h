// How long a response may take that is forwarded to its client while its backend still sends it. Owns the
// record of what the backend has sent. Pure: the caller passes the time, and ends the response.
//
// The last byte of a response is due at its request's deadline; up to kLateResponse later it is of no use,
// but complete. Of a long response only the first bytes are due by then, and the rest is not cut off while
// the backend sends it. A stated length says whether a response is long. Without one it counts as long once
// it has come to kLongBody, and may become long as long as it keeps the pace of one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/millis.h"

namespace shorelead::limits {

constexpr std::uint64_t kLongBody = 65536;  // bytes; a longer body makes a long response
// After the deadline. The client waits for half a second more, of which this process may be held up for 0.15
// s.
constexpr Millis kLateResponse = 350;
// Without a byte: a backend may stand still for 310 ms now and then.
constexpr Millis kMaxPause = 350;
// Of a response without a length that may become long: bytes per ms, on average; an eighth of what slow peers
// send.
constexpr double kMinLongPace = 8;
constexpr Millis kMaxPauseOfLong = 2500;  // the same in a long response; slow peers take up to 2 s

class ResponseDeadline {
 public:
  // `due`: the deadline of the request; `length`: of the body in bytes, if stated; `now`: when the forwarding
  // begins.
  ResponseDeadline(Millis due, std::optional<std::uint64_t> length, Millis now);

  void received(std::size_t bytes, Millis now);  // a part of the body
  // From then on the response is given up, unless more of it arrives before.
  Millis expires_at() const;

 private:
  const Millis due_;
  const bool stated_long_;
  const Millis begun_;
  Millis last_received_;
  std::uint64_t received_ = 0;  // bytes
};

}  // namespace shorelead::limits
