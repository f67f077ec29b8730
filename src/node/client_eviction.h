// Chooses which client connection is closed when its descriptor is needed for another one.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "node/client.h"

namespace shorelead::node {

// Returns a connection that `may_evict` allows and that can be closed now, or null: connections that never
// carried a request first, then by the time that they have been idle. The caller closes it.
Client* take_evictable(const std::unordered_map<Client*, std::shared_ptr<Client>>& clients,
                       const std::function<bool(const Client&)>& may_evict);

}  // namespace shorelead::node
