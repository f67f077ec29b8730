// When a plan may say that a slot is open. Pure. Whoever shapes the maps (rules of affinity) asks for any
// map; this closes in it what may not be open yet, so that no two processes send to two backends for one
// slot.
#pragma once

#include <vector>

#include "fleet/plan.h"

namespace shorelead::fleet {

// Whether nobody can have a slot in force but as `since` or a later epoch had it: records at one revision, at
// or after that of the plan before. An epoch of 0 has nothing in force.
bool all_have(const std::vector<Record>& records, std::uint64_t since);

// Closes each slot of `next` that may not be open yet, and carries `since` on. A slot stays open at the
// backend where it stands open; it opens at any backend once it stands closed, or does not stand at all, and
// every record has that in force. Where nothing may open (`may_open` false: what stood before may be unknown)
// only what stands open stays so. `standing`: null where there is none that counts.
void hold_slots(Plan& next, const Plan* standing, const std::vector<Record>& records, bool may_open);

}  // namespace shorelead::fleet
