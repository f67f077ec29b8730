// Answers that are passed on while they come: the connections that carry one, and the memory that all share.
// It must never hold more of one than its flow may, nor wait for good for one that stands still.
#pragma once

#include <memory>
#include <unordered_set>

#include "node/backend_connection.h"

namespace shorelead::node {

class Upstream::StreamedResponses {
 public:
  StreamedResponses(Loop& loop, std::shared_ptr<net::FlowBudget> flows)
      : loop_(loop), flows_(std::move(flows)) {}

  // The answer that has begun on this connection; false: there is no memory for one more.
  bool begin(Connection& connection);
  void ended(Connection& connection) { connections_.erase(&connection); }
  void sweep();

 private:
  Loop& loop_;
  const std::shared_ptr<net::FlowBudget> flows_;
  std::unordered_set<Connection*> connections_;
};

}  // namespace shorelead::node
