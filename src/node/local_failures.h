// Connects that failed for a local cause: no free port, no route, no memory or no descriptor. Tells when to
// retry one and how it ends if it never succeeds. Such causes usually pass, and say nothing about a backend
// unless only connects to that backend fail. Pure; it performs no I/O.
#pragma once

#include <algorithm>
#include <unordered_map>

#include "net/ending.h"
#include "policy/policy.h"

namespace shorelead::node {

class LocalFailures {
 public:
  // The delay before the next connect after `tries` failures in a row: 0 after the first, then growing.
  static Millis retry_delay(int tries) {
    return tries <= 1 ? 0
                      : std::min(kMaxDelay,
                                 kFirstDelay * static_cast<Millis>(1 << std::min(tries - 2, kMaxDoublings)));
  }

  void connect_begun(BackendId backend, Millis now) {
    last_connect_ = now;
    given_up_.erase(backend);
  }
  // Called when a connect that has failed locally since `since` is given up. Returns kRefused if this happens
  // repeatedly for one backend while other connects begin: then there is no route to it.
  net::Ending gave_up(BackendId backend, Millis since) {
    const bool others_begin = last_connect_ > since;
    if (++given_up_[backend] < kUnreachableAfter || !others_begin) return net::Ending::kLocalFailure;
    return net::Ending::kRefused;
  }
  void forget(BackendId backend) { given_up_.erase(backend); }  // its number may be reused for another

 private:
  static constexpr Millis kFirstDelay = 1;
  static constexpr Millis kMaxDelay = 4;
  static constexpr int kMaxDoublings = 2;
  static constexpr int kUnreachableAfter = 3;  // in a row

  std::unordered_map<BackendId, int> given_up_;  // failures in a row, for backends with any
  Millis last_connect_ = 0;
};

}  // namespace shorelead::node
