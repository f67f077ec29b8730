// Chooses which client connections are closed: one whose descriptor is needed for another, and those whose
// time is over.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "node/client.h"
#include "node/client_timeouts.h"

namespace shorelead::node {

// Returns a connection that `may_evict` allows and that can be closed now, or null: connections that never
// carried a request first, then by the time that they have been idle. The caller closes it.
Client* take_evictable(const std::unordered_map<Client*, std::shared_ptr<Client>>& clients,
                       const std::function<bool(const Client&)>& may_evict);

// Returns the connections whose time-outs have passed. An end behind input that is not read for now is
// noticed here for the others.
std::vector<std::shared_ptr<Client>> overdue_clients(
    const std::unordered_map<Client*, std::shared_ptr<Client>>& clients, const ClientTimeouts& timeouts,
    Millis now, manage::DrainState drain, bool roomy);

}  // namespace shorelead::node
