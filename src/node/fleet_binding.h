// Maps the blocks fleet, budget and plan of a checked .shore document to a FleetConfig.
#pragma once

#include <optional>

#include "language/check.h"
#include "node/config.h"
#include "node/fleet_config.h"

namespace shorelead::node {

// Returns nothing if there is no fleet block. Throws FieldError if an address is not numeric, and for errors
// of affinity rules.
std::optional<FleetConfig> fleet_of(const language::Document& document, const Config& config);

}  // namespace shorelead::node
