// How an attempt's connection ended, as the module counts it, and a backend's health as lists word it. The
// one place where either is mapped.
#pragma once

#include <string>

#include "net/stream.h"
#include "policy/policy.h"

namespace shorelead::node {

Outcome outcome_of(net::Ending ending);

// Whether an attempt that ended so cannot have run, nor will.
inline bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kNoConnection || outcome == Outcome::kNotSent;
}
inline bool never_ran(net::Ending ending) { return never_ran(outcome_of(ending)); }
BackendState state_of(const std::string& health);

// Puts what an answer reported, if it did, into the module's event of its end.
template <typename Ended>
void take_report(const LoadReport* load, Ended& event) {
  event.has_report = load != nullptr;
  if (load != nullptr) event.report = *load;
}

}  // namespace shorelead::node
