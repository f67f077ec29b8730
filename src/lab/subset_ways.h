// Ways of choosing subsets beside the shards of src/subset, as baselines: random choice, rendezvous hashing
// (Thaler and Ravishankar 1998), deterministic subsetting by shuffled slices (Beyer et al. 2016, ch. 20), an
// aperture on a ring of evenly spaced backends. Pure; never linked into the daemon.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "subset/partition.h"

namespace shorelead::lab {

using Members = std::vector<std::uint64_t>;  // keys, sorted
using Backends = std::vector<subset::Backend>;
// All nodes' subsets at once.
using Way = std::function<std::vector<Members>(const Backends&, int nodes, int size)>;

// Every way by name, the shards among them.
const std::vector<std::pair<std::string, Way>>& subset_ways();

}  // namespace shorelead::lab
