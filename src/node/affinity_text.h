// Rules of affinity in words for people: what they do to a request, and what of them a change of the file
// changes. It must never name a backend: only the plan knows which has a key.
#pragma once

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "affinity/rules.h"

namespace shorelead::node {

void explain_affinity(const std::vector<affinity::Rule>& rules, const affinity::Request& request,
                      std::ostream& out);

// Adds what `differences` compares. Whatever is under "keys" makes another map: all keys of the rule may
// move.
void affinity_facts(const std::vector<affinity::Rule>& rules, std::map<std::string, std::string>& facts);

}  // namespace shorelead::node
