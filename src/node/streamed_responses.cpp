#include "node/streamed_responses.h"

#include <spdlog/spdlog.h>

#include "node/connections.h"
#include "node/recorder.h"

namespace shorelead::node {

bool Upstream::StreamedResponses::begin(Connection& connection) {
  const auto& flows = owner_.flows_;
  if (!flows->room()) {
    spdlog::warn("no memory to stream one more response, {} in progress", flows->open());
    return false;
  }
  const auto flow = std::make_shared<net::Flow>(flows, connection.response.parser.length());
  connection.response_flow = flow;
  connection.request_complete = connection.written();
  connection.last_received = owner_.loop_.now();
  connection.forwarded = {connection.job->request, connection.job->attempt};
  take_body(connection);
  if (Recorder* const recorder = owner_.listener_.recorder)
    recorder->response_begun(connection.forwarded.request, connection.forwarded.number, flow->passed());
  flow->set_source({[&connection] {
                      connection.stream.limit_reads(connection.response_flow->space());
                      connection.stream.want_input(true);
                    },
                    [this, hold = connection.shared_from_this()] {
                      if (hold->response_flow) end(*hold, End::kAbandoned);
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
  if (state != Parser::State::kBad) take_body(connection);
  if (!connection.response_flow) return;  // the client has closed
  if (state == Parser::State::kBad) return end(connection, End::kCutShort);
  if (state == Parser::State::kDone) return end(connection, End::kWhole);
  connection.stream.want_input(!flow->full());
  connection.stream.limit_reads(flow->space());
}

// Leaves the head, without the room that the body has taken behind it.
void Upstream::StreamedResponses::take_body(Connection& connection) {
  Message& response = connection.response;
  std::string body = response.parser.take_body(response.raw);
  response.raw.shrink_to_fit();
  connection.response_flow->put(std::move(body));
}

void Upstream::StreamedResponses::end(Connection& connection, End end) {
  const std::shared_ptr<Connection> hold = connection.shared_from_this();
  const std::shared_ptr<net::Flow> flow = std::exchange(connection.response_flow, nullptr);
  flow->set_source({});
  report(connection, end, *flow);
  const bool whole = end == End::kWhole;
  const Message& response = connection.response;
  const bool keep = whole && response.head().keep_alive && response.raw.size() == response.parser.size() &&
                    connection.request_complete && !connection.withdrawn && connection.stream.open() &&
                    owner_.listener_.keep(false);
  connection.stream.limit_reads(Stream::kReadBytes);
  if (keep) {
    connection.stream.want_input(true);
    owner_.connections_->mark_idle(connection, true);
  } else {
    owner_.connections_->close(connection, whole ? Ending::kDone : Ending::kBroken);
  }
  whole ? flow->end() : flow->cut();
}

// What a connection carries that was withdrawn says nothing about the backend as it is now.
void Upstream::StreamedResponses::report(const Connection& connection, End end, const net::Flow& flow) const {
  const auto [request, attempt] = connection.forwarded;
  if (Recorder* const recorder = owner_.listener_.recorder) {
    recorder->response_over(request, attempt, end == End::kWhole, flow.passed(),
                            owner_.loop_.now() - connection.last_received);
  }
  std::optional<Ending> ending;
  if (end == End::kWhole) ending = Ending::kServed;
  if (end == End::kCutShort) ending = Ending::kBroken;
  if (end == End::kAbandoned && flow.overdue()) ending = Ending::kTimeout;
  if (connection.withdrawn) ending = std::nullopt;
  owner_.listener_.response_ended(request, ending);
}

}  // namespace shorelead::node
