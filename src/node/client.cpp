#include "node/client.h"

#include <array>
#include <utility>

namespace shorelead::node {
namespace {

constexpr std::size_t kMaxReadAhead = 131072;  // bytes buffered after the current request, beside one read
constexpr int kRequestsPerTurn = 4;  // of one connection's buffered requests, before others are handled

}  // namespace

void Client::take_input() {
  if (state == State::kClosing) {
    const std::size_t size = std::exchange(stream.input(), {}).size();
    if (!lingering_close.drop(size, loop_.now())) host_.forget(*this, Ending::kDone);
    return;
  }
  last_input_at = loop_.now() - stream.waited();
  if (forwarding_request_body()) return take_request_body();
  state == State::kReading ? read() : limit_read_ahead();
  account();
}

// Each response would otherwise let in another read, however much is buffered already. Where memory is scarce
// nothing is read beside a request that is open.
void Client::limit_read_ahead() {
  const std::size_t open = state == State::kReading ? 1 : 0;
  stream.want_input(stream.held() < (host_.memory().scarce() ? open : kMaxReadAhead));
}

void Client::account() {
  if (!stream.open() || state == State::kClosing) return;  // it counts no more
  const bool forwarding = state == State::kForwarding || message->flow != nullptr;
  const std::size_t output = forwarding ? 0 : stream.unsent_capacity();
  const bool large = message->flow != nullptr || stream.held() >= ClientMemory::kSmall;
  if (!forwarding_request_body())
    stream.limit_reads(large && !host_.memory().scarce() ? Stream::kReadBytes : ClientMemory::kSmall);
  host_.memory().charge(
      charged, stream.input().capacity() + message->raw.capacity() + message->parser.memory() + output);
  if (host_.memory().over()) host_.relieve_memory();
}

void Client::read() {
  std::string& input = stream.input();
  if (input.empty()) return;
  if (!stream.flushed()) return stream.want_input(false);  // until the client has taken its last response
  if (request_started_at == 0) request_started_at = last_input_at;
  const Parser::State parsed = message->parser.advance(input);
  if (parsed == Parser::State::kBad)
    return answer(message->parser.refusal(), message->parser.cause(), 0, true);
  if (parsed != Parser::State::kDone) {
    stream.want_input(true);
    if (parsed == Parser::State::kBody && !sent_continue_ && message->head().find(input, "expect")) {
      sent_continue_ = true;
      const std::array<std::string_view, 1> pieces = {"HTTP/1.1 100 Continue\r\n\r\n"};
      stream.send(pieces);
    }
    if (parsed == Parser::State::kBody && message->parser.large()) begin_request_body();
    return;
  }
  if (left_while_unread()) return;
  const std::size_t size = message->parser.size();
  std::string rest = input.substr(size);
  message->raw = std::exchange(input, std::move(rest));
  message->raw.resize(size);
  if (message->raw.capacity() > 2 * size) message->raw.shrink_to_fit();
  limit_read_ahead();
  keep_alive_ = message->head().keep_alive;
  used = true;
  set_unused(false);
  state = State::kWaiting;
  host_.begin(*this);
}

// Drops a request whose client closed the connection right after it, before it was read: no client waits for
// the response.
bool Client::left_while_unread() {
  if (!stream.ended()) return false;
  host_.left_early();
  host_.forget(*this, Ending::kPeerClosed);
  return true;
}

bool Client::still_waits() {
  if (!stream.open()) return false;
  if (!stream.ended()) return true;
  // Deferred, as the caller is in the middle of handling this request.
  loop_.later([this, hold = shared_from_this()] {
    if (stream.open()) on_end(stream, Ending::kPeerClosed);
  });
  return false;
}

// ---- streamed request bodies ----

void Client::begin_request_body() {
  if (left_while_unread()) return;
  used = true;
  set_unused(false);
  state = State::kWaiting;
  streamed_body = true;
  const auto& flows = host_.flows();
  // 503: no attempt was made, so the client can repeat it. 413: this node takes no bodies of this size.
  if (!flows || !flows->room())
    return answer(flows ? 503 : 413, "no memory for one more large body", 0, true);
  message->raw = std::exchange(stream.input(), {});
  std::string first = message->parser.take_body(message->raw);
  keep_alive_ = message->head().keep_alive;
  message->flow = std::make_shared<net::Flow>(flows, message->parser.length());
  message->flow->put(std::move(first));
  request_body = std::make_shared<RequestBodyForwarder>(loop_, stream, message->flow);
  host_.begin(*this);
  if (request_body) request_body->hold_time(timeout, [this] { host_.body_overdue(*this); });
}

void Client::take_request_body() {
  const std::shared_ptr<Client> hold = shared_from_this();
  const std::shared_ptr<RequestBodyForwarder> taking = request_body;
  const RequestBodyForwarder::Read read = taking->read(*message);
  if (read == RequestBodyForwarder::Read::kBad) {
    return host_.abort(*this, message->parser.refusal(), message->parser.cause(), manage::RequestEnd::kLeft);
  }
  if (read == RequestBodyForwarder::Read::kComplete) host_.body_complete(*this);
  taking->forward();
  account();
}

// ---- responses ----

void Client::forward(const Message& response, std::shared_ptr<net::Flow> flow) {
  host_.answered(200);
  const bool uploading = forwarding_request_body();  // its rest has no reader any more
  response_forwarder = std::make_shared<ResponseForwarder>(
      loop_, std::move(flow), uploading ? loop_.now() + timeout : due, message->head().minor, last());
  state = State::kForwarding;
  // A request that was read behind a response could not be answered if that is cut short.
  if (!uploading) stream.want_input(false);
  response_forwarder->begin(stream, response, [this] { pump(); });
  pump();
}

void Client::pump() {
  if (state != State::kForwarding || !stream.open() || !stream.flushed()) return;
  const std::shared_ptr<ResponseForwarder> hold = response_forwarder;
  switch (hold->pump(stream)) {
    case ResponseForwarder::Step::kContinues:
      return;
    case ResponseForwarder::Step::kComplete:
      host_.release(*this, manage::RequestEnd::kPassed);
      return answered(hold->last());
    case ResponseForwarder::Step::kTruncated:
      // The client must see the truncation, so a connection whose close would mark the end is reset.
      host_.release(*this, manage::RequestEnd::kBadGateway);
      if (hold->ends_with_connection()) stream.reset_on_close();
      host_.forget(*this, Ending::kBroken);
  }
}

void Client::leave_bodies() {
  if (request_body) {
    request_body->leave();
    request_body.reset();
  }
  if (response_forwarder) {
    response_forwarder->leave();
    response_forwarder.reset();
  }
}

void Client::answer(const Refusal& refusal, bool force_close) {
  host_.answered(refusal.status);
  if (force_close) keep_alive_ = false;
  const bool closes = last();
  const std::string head = generated_head(refusal, std::string_view(refusal.cause).size() + 1, closes);
  const std::array<std::string_view, 3> pieces = {head, refusal.cause, "\n"};
  stream.send(pieces);
  answered(closes);
}

void Client::send(const Message& response) {
  host_.answered(200);
  const bool closes = last();
  send_complete(stream, response, message->head().method.in(message->raw) == "HEAD", closes);
  answered(closes);
}

// If only the host wants to close the connection, it stays open while it has unread input: that may be a
// further request, which must be answered.
bool Client::last() const {
  return !keep_alive_ || forwarding_request_body() || (host_.is_last(*this) && stream.quiet());
}

void Client::answered(bool closes) {
  leave_bodies();
  request = 0;
  request_started_at = 0;
  sent_continue_ = false;
  last_used = loop_.now();
  answered_before = true;
  set_unused(!closes);
  if (closes) return end_sending();
  state = State::kReading;
  host_.became_idle();
  message = std::make_shared<Message>(Parser::Kind::kRequest, net::kMaxRequestBody);
  limit_read_ahead();
  account();
  if (!stream.input().empty()) read_buffered();
}

// Reads the next request, which is already buffered. Deferred, as this may run while the last one is still
// being handled; now and then until other connections have had their turn.
void Client::read_buffered() {
  const Loop::Task task = [weak = weak_from_this()] {
    const std::shared_ptr<Client> client = weak.lock();
    if (client && client->stream.open() && client->state == State::kReading) client->guarded(&Client::read);
  };
  if (++buffered_requests_ % kRequestsPerTurn != 0) return loop_.later(task);
  loop_.after(0, task);
}

// Half-closes: a full close with unread bytes would reset the connection, and the response could be lost.
void Client::end_sending() {
  state = State::kClosing;
  std::exchange(stream.input(), {});
  message = std::make_shared<Message>(Parser::Kind::kRequest, net::kMaxRequestBody);
  host_.memory().charge(charged, 0);
  lingering_close.begin(loop_.now(), streamed_body);
  stream.want_input(true);
  if (stream.flushed()) stream.close_sending();
}

void Client::on_flushed(Stream&) {
  if (state == State::kForwarding) return guarded(&Client::pump);
  if (state == State::kReading && !stream.input().empty()) read_buffered();
  if (state == State::kClosing) stream.close_sending();
}

void Client::on_end(Stream&, Ending ending) {
  const RequestId gone = state == State::kWaiting ? request : 0;
  if (gone != 0) host_.left_unanswered(*this, ending);
  if (state == State::kWaiting || state == State::kForwarding)
    host_.release(*this, manage::RequestEnd::kLeft);
  host_.forget(*this, ending);
  if (gone != 0) host_.client_gone(gone);
}

}  // namespace shorelead::node
