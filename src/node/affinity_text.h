// Affinity rules as text: how a rule applies to a request, and the fields that `differences` compares. Names
// no backend, as only the plan in the shared store knows which backend has a key.
#pragma once

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "affinity/rules.h"

namespace shorelead::node {

void explain_affinity(const std::vector<affinity::Rule>& rules, const affinity::Request& request,
                      std::ostream& out);

// Adds the rules' fields to the map that `differences` compares. A change under "keys" makes a new slot map,
// so all keys of the rule may move.
void add_affinity_fields(const std::vector<affinity::Rule>& rules,
                         std::map<std::string, std::string>& fields);

}  // namespace shorelead::node
