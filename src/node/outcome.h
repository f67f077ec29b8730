// Maps the way a connection ended to the decision module's outcome of the attempt, and the health text of
// endpoint lists to a backend's state.
#pragma once

#include <string>

#include "net/stream.h"
#include "policy/policy.h"

namespace shorelead::node {

Outcome outcome_of(net::Ending ending);

// Whether it is certain that the request was not and will not be executed by this attempt.
inline bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kNoConnection || outcome == Outcome::kNotSent;
}
inline bool never_ran(net::Ending ending) { return never_ran(outcome_of(ending)); }
BackendState state_of(const std::string& health);

// Puts the load report of a response, if it had one, into the module's event.
template <typename Ended>
void take_report(const LoadReport* load, Ended& event) {
  event.has_report = load != nullptr;
  if (load != nullptr) event.report = *load;
}

}  // namespace shorelead::node
