// Two published rules for the cut-off beside the project's, on the same records: for comparison only.
#pragma once

#include <memory>

#include "fleet/planner.h"
#include "sim.h"

namespace shorelead::plans::sim {

// Null for ways without a planner.
std::unique_ptr<fleet::PlanShaper> shaper_of(Way way, int ranks, const CutOffSettings& settings,
                                             std::uint64_t seed);

}  // namespace shorelead::plans::sim
