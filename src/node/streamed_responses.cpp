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
  const auto flow = std::make_shared<net::Flow>(flows_, connection.answer.parser.length());
  connection.answer_flow = flow;
  connection.clean = connection.written();
  connection.moved_at = loop_.now();
  connections_.insert(&connection);
  flow->put(connection.answer.parser.take_body(connection.answer.raw));
  flow->set_source({[&connection] { connection.stream.want_input(true); },
                    [hold = connection.shared_from_this()] {
                      if (hold->answer_flow) hold->end_flow(false);
                    }});
  return true;
}

void Upstream::StreamedResponses::sweep() {
  const Millis now = loop_.now();
  std::vector<std::shared_ptr<Connection>> stalled;
  for (Connection* const connection : connections_) {
    // A full flow waits for its client and not for the backend.
    if (!connection->answer_flow->full() && now - connection->moved_at >= kStallTimeout)
      stalled.push_back(connection->shared_from_this());
  }
  for (const auto& connection : stalled) {
    if (connection->answer_flow) connection->end_flow(false);
  }
}

}  // namespace shorelead::node
