// For how long a list of backends may be acted on. Passed by value from the list's source to the decisions,
// the guard and the checker. Times are milliseconds of the host's steady clock.
#pragma once

#include <limits>

#include "base/millis.h"

namespace shorelead {

struct ListValidity {
  // Before this the list alone says who may get something new.
  Millis until = std::numeric_limits<Millis>::infinity();
  // From then on only a backend may whose health check passed, for so long after that check was sent,
  Millis confirmed_for = std::numeric_limits<Millis>::infinity();
  // and only if it was sent no sooner than this.
  Millis confirmed_after = -std::numeric_limits<Millis>::infinity();

  bool operator==(const ListValidity&) const = default;
};

// When the last health check that a backend has passed was sent.
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
