#include "node/streamed_responses.h"

#include <spdlog/spdlog.h>

namespace shorelead::node {
namespace {

constexpr Millis kStallTimeout = 30000;  // without a byte of the body from the backend

}  // namespace

bool Upstream::StreamedResponses::begin(Connection& connection) {
  if (!flows_->room()) {
    spdlog::warn("no memory to stream one more response, {} in progress", flows_->open());
    return false;
  }
  const auto flow = std::make_shared<net::Flow>(flows_, connection.response.parser.length());
  connection.response_flow = flow;
  connection.request_complete = connection.written();
  connection.last_received = loop_.now();
  connections_.insert(&connection);
  flow->put(connection.response.parser.take_body(connection.response.raw));
  flow->set_source({[&connection] { connection.stream.want_input(true); },
                    [hold = connection.shared_from_this()] {
                      if (hold->response_flow) hold->end_response_flow(false);
                    }});
  return true;
}

void Upstream::StreamedResponses::sweep() {
  const Millis now = loop_.now();
  std::vector<std::shared_ptr<Connection>> stalled;
  for (Connection* const connection : connections_) {
    // A full flow waits for its client and not for the backend.
    if (!connection->response_flow->full() && now - connection->last_received >= kStallTimeout)
      stalled.push_back(connection->shared_from_this());
  }
  for (const auto& connection : stalled) {
    if (connection->response_flow) connection->end_response_flow(false);
  }
}

}  // namespace shorelead::node
