// What the connections of all clients hold in memory, against one limit: input that was read ahead or belongs
// to a request that is not whole, requests that wait for their response, and responses that clients have not
// taken. A client's bytes are counted by its connection; the caller frees memory when the limit is passed.
// Streamed bodies have a limit of their own (net/flow.h).
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>

#include "net/flow_budget.h"

namespace shorelead::node {

class Client;

class ClientMemory {
 public:
  // Requests up to this size are always read and handled: 1,024 of them are 4 MB.
  static constexpr std::size_t kSmall = 4096;

  explicit ClientMemory(std::function<std::size_t()> limit) : limit_(std::move(limit)) {}

  // Counts a connection that held `charged` and holds `bytes` now.
  void charge(std::size_t& charged, std::size_t bytes) {
    held_ += bytes;
    held_ -= std::exchange(charged, bytes);
  }
  bool over() const { return held_ > limit_(); }
  // Over the limit by more than small requests may add: these are refused too.
  bool exhausted() const { return held_ > limit_() + limit_() / 4; }
  // So much is held that nothing is read ahead.
  bool scarce() const { return held_ > limit_() / 2; }
  std::size_t held() const { return held_; }  // bytes

 private:
  const std::function<std::size_t()> limit_;
  std::size_t held_ = 0;
};

using ClientMap = std::unordered_map<Client*, std::shared_ptr<Client>>;

// Calls `give_up` for one connection after another until both limits are kept, or nobody is left who can be
// given up. `flows`: of streamed bodies, which are over their limit only once that has been lowered; may be
// null.
void relieve_memory(const ClientMemory& memory, const net::FlowBudget* flows, const ClientMap& clients,
                    const std::function<void(Client&)>& give_up);

}  // namespace shorelead::node
