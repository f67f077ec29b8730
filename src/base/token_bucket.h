// A token bucket: how many of something may happen at a rate, with some saved up. Keeps no clock.
#pragma once

#include <algorithm>

#include "base/millis.h"

namespace shorelead {

class TokenBucket {
 public:
  // Whether one more may happen at `now` (never earlier than the last call's), at `rate` a second with at
  // most `most` saved up; takes its token.
  bool take(double rate, double most, Millis now) {
    tokens_ = std::min(most, tokens_ + rate * (now - at_) / 1000);
    at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  double tokens_ = 0;
  Millis at_ = 0;
};

}  // namespace shorelead
