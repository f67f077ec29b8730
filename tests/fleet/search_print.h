// Tells states of the search apart: two that no later event can tell apart have one print. Revisions count by
// what they are compared with, moments from now on, in steps.
#pragma once

#include <compare>
#include <cstdint>

#include "fleet/search_node.h"

namespace shorelead::fleet::model {

struct Print {
  std::uint64_t a = 0x243f6a8885a308d3ULL;
  std::uint64_t b = 0x13198a2e03707344ULL;
  auto operator<=>(const Print&) const = default;
};

Print print_of(const Node& node);

}  // namespace shorelead::fleet::model
