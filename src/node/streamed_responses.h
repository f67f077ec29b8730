// Responses that are forwarded while they are received: reads them from their backend connections into flows
// (net/flow.h), whose memory they share. Buffers no more of a response than its flow may hold, and ends one
// whose backend has stalled.
#pragma once

#include <memory>
#include <unordered_set>

#include "node/backend_connection.h"

namespace shorelead::node {

class Upstream::StreamedResponses {
 public:
  StreamedResponses(Upstream& owner, std::shared_ptr<net::FlowBudget> flows)
      : owner_(owner), flows_(std::move(flows)) {}

  // Starts forwarding the response of this connection. False: there is no memory for one more.
  bool begin(Connection& connection);
  // Forwards what has arrived, and ends the flow with the response.
  void receive(Connection& connection);
  // Ends the forwarding of a response: `whole`, or cut short by either side.
  void end(Connection& connection, bool whole);
  void sweep();

 private:
  Upstream& owner_;
  const std::shared_ptr<net::FlowBudget> flows_;
  std::unordered_set<Connection*> connections_;
};

}  // namespace shorelead::node
