// Parses one read of all keys of the fleet for the planner. No I/O.
#pragma once

#include <functional>
#include <string>

#include "fleet/planner_events.h"
#include "membership/registry/writes.h"

namespace shorelead::fleet {

// Parses a transaction's three ranges: P/planner, P/plan, P/members/. The caller sets the call and the
// header. `trouble` is called with a message for each unreadable value.
AllRead read_all(const membership::registry::TxnAnswer& answer,
                 const std::function<void(const std::string&)>& trouble);

}  // namespace shorelead::fleet
