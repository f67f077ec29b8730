// Compares two configurations by their effect on traffic. The text does not matter: another order, another
// unit and a default that is spelled out make no difference. Pure functions. Every field that affects the
// node has to be compared here, else `diff` misses a change.
#pragma once

#include <string>
#include <vector>

#include "node/config.h"

namespace shorelead::node {

struct ConfigDiff {
  std::string what;    // "class check: aim", "route GET /a/{}"
  std::string before;  // empty = was absent
  std::string after;   // empty = is absent
};

// In a fixed order; empty if the two configurations behave the same.
std::vector<ConfigDiff> differences(const Config& before, const Config& after);

}  // namespace shorelead::node
