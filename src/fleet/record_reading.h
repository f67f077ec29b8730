// One read of everything in the store, as a planner takes it. Pure.
#pragma once

#include <functional>
#include <string>

#include "fleet/planner_events.h"
#include "membership/registry/writes.h"

namespace shorelead::fleet {

// Of a transaction's three ranges: P/planner, P/plan, P/members/. The call and the header are left to the
// caller. `trouble` is told of what cannot be read.
AllRead read_all(const membership::registry::TxnAnswer& answer,
                 const std::function<void(const std::string&)>& trouble);

}  // namespace shorelead::fleet
