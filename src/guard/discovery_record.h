// The checker's own record of when discovery was last heard, from which it derives by itself until when a
// list may be used. Shares no code and no state with the lease that decides, so that a fault there shows as a
// violation. Not to be used for decisions. Pure: the caller passes the time, in milliseconds.
#pragma once

#include <algorithm>
#include <limits>

#include "base/millis.h"

namespace shorelead::guard {

// What a process observes of discovery that bears on the age of its list.
struct DiscoverySign {
  enum class Kind {
    kMessage,     // a whole list or keep-alive arrived
    kRefused,     // a connection was refused: nobody listens
    kWatchReset,  // an answered watch was reset, and what was written into it may be lost
  };
  Kind kind;
  Millis at;
  Millis grace;  // for which a backend may get new requests after a change binds
};

class DiscoveryRecord {
 public:
  void note(const DiscoverySign& sign) {
    grace_ = sign.grace;
    switch (sign.kind) {
      case DiscoverySign::Kind::kMessage:
        heard_at_ = sign.at;
        reset_at_ = kNever;
        outage_ = false;
        return;
      case DiscoverySign::Kind::kWatchReset:
        reset_at_ = std::min(reset_at_, sign.at);
        return;
      case DiscoverySign::Kind::kRefused:
        if (outage_ ? sign.at - away_until_ > kMaxGap : sign.at - heard_at_ > kLastMoment) return;
        outage_ = true;
        away_until_ = sign.at;
        reset_at_ = kNever;
        return;
    }
  }

  // Whether a change that has not arrived may bind, beyond the grace. False before discovery was heard.
  bool may_be_bound(Millis now) const {
    if (heard_at_ == kNever) return false;
    const Millis known_until = outage_ ? away_until_ : heard_at_;
    return now > std::min(known_until + kMaxAge, reset_at_) + grace_;
  }

 private:
  static constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
  static constexpr Millis kMaxAge = 6000;     // after which a change binds whether or not it arrived
  static constexpr Millis kLastMoment = 100;  // a list is current so shortly after a message
  static constexpr Millis kMaxGap = 1000;     // between refused connections of one outage

  Millis grace_ = 0;
  Millis heard_at_ = kNever;
  Millis reset_at_ = kNever;
  Millis away_until_ = 0;
  bool outage_ = false;  // it began while the list was current
};

}  // namespace shorelead::guard
