// A lease on a list in the states that tests of it begin with.
#pragma once

#include "membership/list_lease.h"

namespace shorelead::membership {

using CallEnd = ListLease::CallEnd;

inline constexpr Millis kGrace = 250;
inline constexpr Millis kAllowance = kGrace - ListLease::kMaxPause;
inline constexpr Millis kStart = 10000;

inline constexpr Millis kAskEvery = 10000;      // longer than changes take to bind at the latest
inline constexpr Millis kShortAskEvery = 1500;  // a list is asked for so often that it binds sooner

inline ListLease lease_on_request(Millis ask_every = kAskEvery) {
  ListLease lease;
  lease.adopt({.grace = kGrace, .pushed = false, .ask_every = ask_every});
  return lease;
}

// An open watch on which a keep-alive has just arrived.
inline ListLease watching(bool pushed = false, Millis ask_every = kAskEvery) {
  ListLease lease;
  lease.adopt({.grace = kGrace, .pushed = pushed, .ask_every = ask_every});
  lease.call_begun(kStart - 4000);
  lease.call_answered(kStart - 4000);
  lease.sign_of_life(kStart);
  return lease;
}

}  // namespace shorelead::membership
