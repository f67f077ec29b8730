// What changes for traffic from one configuration to another. Pure. Owns the comparison of what the node goes
// by, not of text: what is told in other words, another order or by default is the same. It must never leave
// out a field that the node goes by.
#pragma once

#include <string>
#include <vector>

#include "node/config.h"

namespace shorelead::node {

struct Difference {
  std::string what;    // "class check: aim", "route GET /a/{}"
  std::string before;  // empty = there was none
  std::string after;   // empty = there is none any more
};

// In a fixed order; none where the node would do the same.
std::vector<Difference> differences(const Config& before, const Config& after);

}  // namespace shorelead::node
