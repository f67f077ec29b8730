// Fingerprints of the search's states: states that no later event can distinguish have the same fingerprint.
// Revisions count only by the comparisons they take part in, times only relative to now, in steps.
#pragma once

#include <compare>
#include <cstdint>

#include "fleet/search_node.h"

namespace shorelead::fleet::model {

struct Fingerprint {
  std::uint64_t a = 0x243f6a8885a308d3ULL;
  std::uint64_t b = 0x13198a2e03707344ULL;
  auto operator<=>(const Fingerprint&) const = default;
};

Fingerprint fingerprint_of(const Node& node);

}  // namespace shorelead::fleet::model
