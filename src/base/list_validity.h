// How long a list of backends is valid. Passed by value from discovery to the policy, the guard and the
// checker. Times are milliseconds of the host's steady clock.
#pragma once

#include <limits>

#include "base/millis.h"

namespace shorelead {

struct ListValidity {
  // Until then every backend that the list allows may get new requests; after that none may. Nothing that a
  // backend says stands in for a valid list: one that has left the list may still serve and pass health
  // checks.
  Millis until = std::numeric_limits<Millis>::infinity();

  bool operator==(const ListValidity&) const = default;
};

}  // namespace shorelead
