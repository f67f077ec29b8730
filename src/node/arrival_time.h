// For how long the list, keep-alive or head that is arriving has been under way, from its first byte, which
// may be of framing. Pure: events are passed in with their time, in milliseconds.
#pragma once

#include <cstddef>

#include "base/millis.h"

namespace shorelead::node {

class ArrivalTime {
 public:
  void reset() { since_ = 0; }
  // All input has been processed; `incomplete`: something has begun to arrive and is not whole.
  void update(bool incomplete, Millis now) {
    if (!incomplete) since_ = 0;
    if (incomplete && since_ == 0) since_ = now;
  }
  bool longer_than(Millis limit, Millis now) const { return since_ > 0 && now - since_ > limit; }
  // Whether more time has passed than `allowed`, plus what `bytes` take at the minimum rate.
  bool too_slow(Millis allowed, std::size_t bytes, Millis now) const {
    return longer_than(allowed + static_cast<Millis>(bytes) / kMinRate, now);
  }

 private:
  static constexpr Millis kMinRate = 32;  // bytes per ms at which a list must arrive

  Millis since_ = 0;  // 0 = nothing is incomplete
};

}  // namespace shorelead::node
