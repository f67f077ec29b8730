// Responses that are forwarded while they are received: reads them from their backend connections into flows
// (net/flow.h), whose memory they share. Buffers no more of a response than its flow may hold. How long one
// may take is decided on the client's side (ResponseForwarder), which leaves the flow of one that takes too
// long.
#pragma once

#include <memory>

#include "node/backend_connection.h"

namespace shorelead::node {

class Upstream::StreamedResponses {
 public:
  explicit StreamedResponses(Upstream& owner) : owner_(owner) {}

  // Starts forwarding the response of this connection. False: there is no memory for one more.
  bool begin(Connection& connection);
  // Forwards what has arrived, and ends the flow with the response.
  void receive(Connection& connection);
  enum class End {
    kWhole,
    kCutShort,   // by the backend
    kAbandoned,  // the flow's sink left, or there is none
  };
  // Ends the forwarding of a response.
  void end(Connection& connection, End end);

 private:
  static void take_body(Connection& connection);
  void report(const Connection& connection, End end, const net::Flow& flow) const;

  Upstream& owner_;
};

}  // namespace shorelead::node
