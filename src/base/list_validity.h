// How long a list of backends is valid, and which backends may still be used after that. Passed by value from
// discovery to the policy, the guard and the checker. Times are milliseconds of the host's steady clock.
#pragma once

#include <limits>

#include "base/millis.h"

namespace shorelead {

struct ListValidity {
  // Until then every backend that the list allows may get new requests.
  Millis until = std::numeric_limits<Millis>::infinity();
  // After that, a backend may only for this long after its last passed health check was sent,
  Millis confirmed_for = std::numeric_limits<Millis>::infinity();
  // and only if that check was sent no earlier than this.
  Millis confirmed_after = -std::numeric_limits<Millis>::infinity();

  bool operator==(const ListValidity&) const = default;
};

// Time of sending of a backend's last health check, if it passed.
class LastConfirmation {
 public:
  void passed(Millis sent) { sent_ = sent; }
  void failed() { sent_ = kNone; }
  bool within(const ListValidity& validity, Millis now) const {
    return sent_ >= validity.confirmed_after && now < sent_ + validity.confirmed_for;
  }

 private:
  static constexpr Millis kNone = -std::numeric_limits<Millis>::infinity();
  Millis sent_ = kNone;
};

}  // namespace shorelead
