// Responses that are forwarded while they are received: the backend connections that carry one, and the
// memory that all of them share. Ends a response whose backend has stalled.
#pragma once

#include <memory>
#include <unordered_set>

#include "node/backend_connection.h"

namespace shorelead::node {

class Upstream::StreamedResponses {
 public:
  StreamedResponses(Loop& loop, std::shared_ptr<net::FlowBudget> flows)
      : loop_(loop), flows_(std::move(flows)) {}

  // Starts forwarding the response of this connection. False: there is no memory for one more.
  bool begin(Connection& connection);
  void ended(Connection& connection) { connections_.erase(&connection); }
  void sweep();

 private:
  Loop& loop_;
  const std::shared_ptr<net::FlowBudget> flows_;
  std::unordered_set<Connection*> connections_;
};

}  // namespace shorelead::node
