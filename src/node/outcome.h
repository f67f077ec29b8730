// How an attempt's connection ended, as the module counts it, and a backend's health as lists word it. The
// one place where either is mapped.
#pragma once

#include <string>

#include "net/stream.h"
#include "policy/policy.h"

namespace shorelead::node {

Outcome outcome_of(net::Ending ending);
BackendState state_of(const std::string& health);

}  // namespace shorelead::node
