// Decides when a plan may have a slot open. No I/O. The shapers (affinity rules) may ask for any map; this
// closes the slots that may not be open yet, so that no two processes send to different backends for one
// slot.
#pragma once

#include <vector>

#include "fleet/plan.h"

namespace shorelead::fleet {

// Whether every member with a plan in force has that of epoch `since` or a later one. `records` are read at
// one revision, not before that of the previous plan. A record with epoch 0 has no plan in force.
bool all_have(const std::vector<Record>& records, std::uint64_t since);

// Closes each slot of `next` that may not be open yet, and keeps `since` up to date. A slot that is open
// stays open on its backend. It opens on any backend once it is closed in, or missing from, the current plan
// and every record has that in force. If `may_open` is false (the previous assignment may be unknown), only
// slots that are open stay open. `standing`: the current plan, or null if there is none of this history.
void hold_slots(Plan& next, const Plan* standing, const std::vector<Record>& records, bool may_open);

}  // namespace shorelead::fleet
