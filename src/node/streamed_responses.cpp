#include "node/streamed_responses.h"

#include <spdlog/spdlog.h>

#include "node/connections.h"
#include "node/recorder.h"

namespace shorelead::node {

bool Upstream::StreamedResponses::begin(Connection& connection) {
  if (!flows_->room()) {
    spdlog::warn("no memory to stream one more response, {} in progress", flows_->open());
    return false;
  }
  const auto flow = std::make_shared<net::Flow>(flows_, connection.response.parser.length());
  connection.response_flow = flow;
  connection.request_complete = connection.written();
  connection.last_received = owner_.loop_.now();
  connection.forwarded = {connection.job->request, connection.job->attempt};
  flow->put(connection.response.parser.take_body(connection.response.raw));
  if (Recorder* const recorder = owner_.listener_.recorder)
    recorder->response_begun(connection.forwarded.request, connection.forwarded.number, flow->passed());
  flow->set_source({[&connection] { connection.stream.want_input(true); },
                    [this, hold = connection.shared_from_this()] {
                      if (hold->response_flow) end(*hold, false);
                    }});
  return true;
}

void Upstream::StreamedResponses::receive(Connection& connection) {
  const std::shared_ptr<Connection> hold = connection.shared_from_this();
  connection.last_received = owner_.loop_.now();
  Message& response = connection.response;
  response.raw += std::exchange(connection.stream.input(), {});
  const Parser::State state = response.parser.advance(response.raw);
  const std::shared_ptr<net::Flow> flow = connection.response_flow;
  if (state != Parser::State::kBad) flow->put(response.parser.take_body(response.raw));
  if (!connection.response_flow) return;  // the client has closed
  if (state == Parser::State::kBad) return end(connection, false);
  if (state == Parser::State::kDone) return end(connection, true);
  if (flow->full()) connection.stream.want_input(false);
}

void Upstream::StreamedResponses::end(Connection& connection, bool whole) {
  const std::shared_ptr<Connection> hold = connection.shared_from_this();
  const std::shared_ptr<net::Flow> flow = std::exchange(connection.response_flow, nullptr);
  flow->set_source({});
  if (Recorder* const recorder = owner_.listener_.recorder) {
    recorder->response_over(connection.forwarded.request, connection.forwarded.number, whole, flow->passed(),
                            owner_.loop_.now() - connection.last_received);
  }
  const Message& response = connection.response;
  const bool keep = whole && response.head().keep_alive && response.raw.size() == response.parser.size() &&
                    connection.request_complete && !connection.withdrawn && connection.stream.open() &&
                    owner_.listener_.keep(false);
  if (keep) {
    connection.stream.want_input(true);
    owner_.connections_->mark_idle(connection, true);
  } else {
    owner_.connections_->close(connection, whole ? Ending::kDone : Ending::kBroken);
  }
  whole ? flow->end() : flow->cut();
}

}  // namespace shorelead::node
