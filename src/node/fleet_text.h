// The fleet part of a configuration as text, for `explain` and `diff`.
#pragma once

#include <map>
#include <string>

#include "node/fleet_config.h"

namespace shorelead::node {

std::string describe(const fleet::Budget& budget);  // "200 requests a second and 20 more in any span"
// Adds the fleet's fields, each under its name, to the map that `differences` compares.
void add_fleet_fields(const FleetConfig& fleet, std::map<std::string, std::string>& fields);

}  // namespace shorelead::node
