#include "node/backend_connection.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "node/connections.h"
#include "node/connector.h"
#include "node/recorder.h"
#include "node/request_head.h"
#include "node/streamed_responses.h"

namespace shorelead::node {
namespace {

constexpr double kBufferingShare = 0.7;     // of an attempt's time, to buffer a response of unknown length
constexpr Millis kBodyCheckInterval = 250;  // how often the progress of a request body is checked

}  // namespace

Upstream::Connection::Connection(Upstream& owner, BackendId backend, std::string dial,
                                 const std::optional<Poco::Net::SocketAddress>& address)
    : owner(owner),
      backend(backend),
      dial(std::move(dial)),
      opened_at(owner.loop_.now()),
      stream(owner.loop_, *this, address),
      memory_(owner.flows_) {}

// Checks at the moment of writing, as the attempt may have waited for its connection. The client's state is
// read last: no clock is read between that and the write, as the process may be paused there.
guard::Verdict Upstream::Connection::may_write(Millis now) const {
  if (job->probe) return {};
  guard::RequestState request;
  guard::BackendState there;
  request.due = job->until;
  request.repeat_until = job->begin_by;
  request.attempts = job->attempt;
  request.max_attempts = job->attempt + 1;
  request.parallel = true;  // the connection cannot tell; the policy has checked it
  request.in_flight = owner.other_sent_attempts(*this);
  // A streamed body can be read only once, so only one attempt can have it.
  const auto& flow = job->message->flow;
  request.body_taken = flow && (flow->touched() || flow->has_sink());
  owner.listener_.describe(job->request, backend, now, request, there);
  return guard::may_write(request, there, now);
}

// Deferred, as the caller may be in the middle of carrying out its own decision.
void Upstream::Connection::end_unsent(Ending ending) {
  owner.loop_.later([hold = shared_from_this(), serial = job->serial, ending] {
    if (hold->job && hold->job->serial == serial) hold->owner.finish(*hold, ending, nullptr, false);
  });
}

Millis Upstream::Connection::next_check() const {
  if (!stream.connected()) return std::min({job->until, job->begin_by, job->connect_by, job->retry_at});
  if (sending_body())
    return std::min(std::max(job->until, owner.loop_.now() + kBodyCheckInterval), job->begin_by);
  if (!written()) return std::min(job->until, job->begin_by);
  // A short response is better forwarded whole, and while it is buffered another attempt can still win; so it
  // is buffered for most of the attempt's time.
  return job->response_begun && !job->buffer_whole
             ? job->started + kBufferingShare * (job->until - job->started)
             : job->until;
}

void Upstream::Connection::write_request(Ending if_unread) {
  const Millis now = owner.loop_.now();
  const Millis left = job->until - now;
  response = Message(Parser::Kind::kResponse, net::kMaxResponseBody);
  std::vector<std::string_view> pieces;
  std::string own;
  if (job->probe) {
    own = "GET /-/load HTTP/1.1\r\nHost: " + dial + "\r\n\r\n";
    pieces.push_back(own);
  } else {
    const Message& message = *job->message;
    request_head(message, left, own, pieces);
    if (message.head().method.in(message.raw) == "HEAD") response.parser.expect_no_body();
    pieces.push_back(message.body());
  }
  Recorder* const recorder = owner.listener_.recorder;
  if (const guard::Verdict verdict = may_write(now); !verdict) {
    if (recorder != nullptr) recorder->attempt_denied(job->request, job->attempt, verdict.reason);
    return end_unsent(Ending::kStoppedUnsent);
  }
  // Input that arrived before the request is no response to it, and proves that the request did not run.
  if (!stream.quiet()) {
    if (recorder != nullptr && !job->probe)
      recorder->attempt_denied(job->request, job->attempt, guard::Reason::kInputUnread);
    return end_unsent(if_unread);
  }
  if (!stream.begin(pieces)) return;  // checked again by on_flushed()
  sent = true;
  if (recorder != nullptr && !job->probe)
    recorder->attempt_written(job->request, job->attempt, backend, owner.listener_.withdrawn(backend, now),
                              left, now);
  if (!job->probe && job->message->flow) start_body();
  count_if_written();
}

// ---- streamed request body ----

void Upstream::Connection::start_body() {
  body = job->message->flow;
  stream.bound_send_buffer();
  body->set_sink({[this] { send_body(); },
                  [this] {
                    // The client closed or sent a malformed body, so the backend cannot run the request.
                    if (job) end_unsent(Ending::kStoppedUnsent);
                  }});
  body_progress = owner.loop_.now();
  send_body();
}

void Upstream::Connection::send_body() {
  if (!job || !body || body_sent || !stream.open() || !stream.flushed()) return;
  const std::string part = body->take();
  const bool last = body->ended() && body->empty();
  if (part.empty() && !last) return;
  body_progress = owner.loop_.now();
  if (last && body_progress >= job->begin_by) return end_unsent(Ending::kStoppedUnsent);
  body_sent = last;
  stream.send(net::FramedPart(part, !body->length(), last).pieces());
  body->set_unsent(stream.unsent_capacity());
  // The attempt's time does not run while the body is being sent: it starts with the last byte. The elapsed
  // time reported is therefore the backend's own; with the client's upload time in it every backend would
  // look slow, and requests would be refused for it.
  if (last)
    job->until = body_progress + std::max(job->until - std::exchange(job->started, body_progress), 1.0);
  count_if_written();
  if (last) owner.set_timer(*this);
}

void Upstream::Connection::detach_body() {
  if (body) body->clear_sink();
  body.reset();
  body_sent = false;
}

// Counts the attempt once its last byte is written.
void Upstream::Connection::count_if_written() {
  if (!job || job->probe || job->counted || !written()) return;
  job->counted = true;
  ++owner.written_;
}

void Upstream::Connection::on_flushed(Stream&) {
  if (body) body->set_unsent(0);
  if (sending_body()) return send_body();
  if (!job) return;
  if (!sent) write_request(Ending::kBrokenUnsent);
  count_if_written();
  owner.set_timer(*this);
}

void Upstream::Connection::on_connected(Stream&) {
  if (!job) return;
  owner.connector_->connected(*this);
  write_request(Ending::kBrokenUnsent);
  owner.set_timer(*this);
}

// ---- responses ----

void Upstream::Connection::on_input(Stream&) {
  const std::shared_ptr<Connection> hold = shared_from_this();
  response_flow ? owner.streamed_responses_->receive(*this) : receive();
  if (idle()) response = Message(Parser::Kind::kResponse);
  count_memory();
}

void Upstream::Connection::count_memory() {
  memory_.set(stream.input().capacity() + response.raw.capacity() + response.parser.memory());
}

// Whether an unfinished response has to be passed on, or given up, as it holds memory that is scarce.
bool Upstream::Connection::scarce() const {
  return owner.flows_->scarce() && response.raw.size() > net::FlowBudget::kMinPart;
}

void Upstream::Connection::receive() {
  if (!job) return owner.connections_->close(*this, Ending::kUnasked);  // never reused with input pending
  response.raw = std::exchange(stream.input(), {});
  Parser::State state = response.parser.advance(response.raw);
  // Skips interim responses; the final one follows. A switch of protocols was not asked for.
  while (state == Parser::State::kDone && response.head().status < 200 && response.head().status != 101) {
    response.raw.erase(0, response.parser.size());
    response.parser.reset();
    state = response.parser.advance(response.raw);
  }
  if (state == Parser::State::kBad) return owner.finish(*this, Ending::kMalformed, nullptr, false);
  const int status = response.head().status;
  if (state == Parser::State::kBody && response.parser.large()) {
    // The body of a response other than 200 is not forwarded.
    if (status != 200 || job->probe) return owner.finish(*this, ending_for_status(status), nullptr, false);
    return owner.start_streaming(*this);
  }
  if (state != Parser::State::kDone && scarce()) {
    const bool forwarded = state == Parser::State::kBody && status == 200 && !job->probe && written() &&
                           owner.listener_.may_stream(job->request);
    if (forwarded) return owner.start_streaming(*this);
    if (owner.flows_->over()) return owner.finish(*this, Ending::kErred, nullptr, false);
  }
  if (state != Parser::State::kDone) {
    stream.input() = std::move(response.raw);
    // Of unknown length and possibly long: its first bytes must not wait for the rest.
    if (state == Parser::State::kBody && status == 200 && !job->probe && !response.parser.length() &&
        written() && !std::exchange(job->response_begun, true))
      owner.set_timer(*this);
    return;
  }
  if (status == 101) return owner.finish(*this, Ending::kMalformed, nullptr, false);
  // Bytes after the response would be taken for the start of the next one, so the connection is not reused.
  const bool keep = response.head().keep_alive && response.raw.size() == response.parser.size() && written();
  owner.finish(*this, ending_for_status(status), &response, keep);
}

void Upstream::Connection::on_end(Stream&, Ending ending) {
  if (response_flow) {
    const bool whole = ending == Ending::kPeerClosed && response.parser.finish() == Parser::State::kDone;
    return owner.streamed_responses_->end(
        *this, whole ? StreamedResponses::End::kWhole : StreamedResponses::End::kCutShort);
  }
  if (!job) return owner.connections_->close(*this, ending);
  response.raw = std::move(stream.input());
  if (ending == Ending::kPeerClosed && response.parser.finish() == Parser::State::kDone) {
    return owner.finish(*this, ending_for_status(response.head().status), &response, false);
  }
  owner.finish(*this, ending_for_break(ending), nullptr, false);
}

Ending Upstream::Connection::ending_for_status(int status) const {
  if (status == 200) return Ending::kServed;
  const bool away = job->probe ? status == 503
                               : (status == 503 || status == 504) && response.value("x-not-processed") == "1";
  return away ? Ending::kRejected : Ending::kErred;
}

// The stream is closed by now; written() still tells what was written before.
Ending Upstream::Connection::ending_for_break(Ending ending) const {
  if (ending == Ending::kRefused || ending == Ending::kNoDescriptor) return ending;
  return written() ? Ending::kBroken : Ending::kBrokenUnsent;
}

}  // namespace shorelead::node
