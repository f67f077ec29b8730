// The blocks fleet, budget and plan of a checked .shore document as the node goes by them. It must never
// guess what was meant.
#pragma once

#include <optional>

#include "language/check.h"
#include "node/config.h"
#include "node/fleet_config.h"

namespace shorelead::node {

// Nothing where there is no such block. Throws FieldError where an address is none of a machine.
std::optional<FleetConfig> fleet_of(const language::Document& document, const Config& config);

}  // namespace shorelead::node
