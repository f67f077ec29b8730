#include "node/client_eviction.h"

#include <algorithm>
#include <utility>

namespace shorelead::node {

Client* take_evictable(const std::unordered_map<Client*, std::shared_ptr<Client>>& clients,
                       const std::function<bool(const Client&)>& may_evict) {
  std::vector<Client*> candidates;
  for (const auto& [client, hold] : clients) {
    if (may_evict(*client)) candidates.push_back(client);
  }
  const auto after = [](const Client* a, const Client* b) {
    return std::pair(a->used, a->last_used) > std::pair(b->used, b->last_used);
  };
  std::make_heap(candidates.begin(), candidates.end(), after);
  while (!candidates.empty()) {
    Client* const client = candidates.front();
    if (client->try_evict()) return client;
    std::pop_heap(candidates.begin(), candidates.end(), after);  // it has unread input
    candidates.pop_back();
  }
  return nullptr;
}

std::vector<std::shared_ptr<Client>> overdue_clients(
    const std::unordered_map<Client*, std::shared_ptr<Client>>& clients, const ClientTimeouts& timeouts,
    Millis now, manage::DrainState drain, bool roomy) {
  std::vector<std::shared_ptr<Client>> found;
  for (const auto& [client, hold] : clients) {
    if (timeouts.overdue(*client, now, drain, roomy)) {
      found.push_back(hold);
    } else if (client->stream.paused()) {
      client->still_waits();
    }
  }
  return found;
}

}  // namespace shorelead::node
