// What a configuration says of the fleet, in words for people.
#pragma once

#include <map>
#include <string>

#include "node/fleet_config.h"

namespace shorelead::node {

std::string words_of(const fleet::Budget& budget);  // "200 a second, 20 more at once"
// What is compared between two configurations, by what it is of.
void fleet_facts(const FleetConfig& fleet, std::map<std::string, std::string>& facts);

}  // namespace shorelead::node
