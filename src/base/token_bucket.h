// A token bucket: limits events to a rate, with a burst of saved tokens. Reads no clock.
#pragma once

#include <algorithm>

#include "base/millis.h"

namespace shorelead {

class TokenBucket {
 public:
  // Takes a token at `now` (not before the last call's) if there is one, at `rate` tokens a second and at
  // most `burst` saved. Returns whether it did.
  bool take(double rate, double burst, Millis now) {
    tokens_ = std::min(burst, tokens_ + rate * (now - at_) / 1000);
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
