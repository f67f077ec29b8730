#include "node/client_memory.h"

#include "node/client.h"

namespace shorelead::node {
namespace {

// Of those that hold over `least` bytes with an unfinished request the one that began first, else of those
// that do not take their responses the one that has waited longest. Null: none.
Client* take_memory_holder(const ClientMap& clients, std::size_t least) {
  Client* found = nullptr;
  std::pair<bool, Millis> first{true, 0};  // whether it is unread output, and since when
  for (const auto& [client, hold] : clients) {
    if (client->state != Client::State::kReading || client->charged <= least) continue;
    const bool output = client->partial_since() == 0;
    if (output && client->stream.flushed()) continue;
    const std::pair<bool, Millis> since{output, output ? client->last_used : client->partial_since()};
    if (found != nullptr && since >= first) continue;
    found = client;
    first = since;
  }
  return found;
}

// Of those whose streamed body is not taken by its receiver the one that has waited longest. Null: none.
Client* take_body_holder(const ClientMap& clients) {
  Client* found = nullptr;
  Millis first = 0;
  for (const auto& [client, hold] : clients) {
    const Millis since = client->body_waits_since();
    if (since == 0 || (found != nullptr && since >= first)) continue;
    found = client;
    first = since;
  }
  return found;
}

}  // namespace

void relieve_memory(const ClientMemory& memory, const net::FlowBudget* flows, const ClientMap& clients,
                    const std::function<void(Client&)>& give_up) {
  while (memory.over()) {
    Client* const holder = take_memory_holder(clients, memory.exhausted() ? 0 : ClientMemory::kSmall);
    if (holder == nullptr) break;
    give_up(*holder);
  }
  while (flows != nullptr && flows->over()) {
    Client* const holder = take_body_holder(clients);
    if (holder == nullptr) return;
    give_up(*holder);
  }
}

}  // namespace shorelead::node
