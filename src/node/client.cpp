#include "node/client.h"

#include <spdlog/spdlog.h>

#include <array>
#include <utility>

#include "guard/guard.h"

namespace shorelead::node {
namespace {

constexpr std::size_t kMostAhead = 131072;  // bytes taken of what follows the request at hand
constexpr int kMostReads = 16;              // at once, of what lies there: a long request and what follows it

}  // namespace

void Client::take_input() {
  if (state == State::kClosing) {
    const std::size_t size = std::exchange(stream.input(), {}).size();
    if (!lingering_close.drop(size, loop_.now())) host_.forget(*this, Ending::kDone);
    return;
  }
  input_at = loop_.now() - stream.waited();
  if (state == State::kReading) return read();
  if (forwarding_request_body()) return take_request_body();
  if (stream.input().size() > kMostAhead) stream.want_input(false);
}

void Client::read() {
  std::string& input = stream.input();
  if (input.empty()) return;
  if (begun_at == 0) begun_at = input_at;
  const Parser::State parsed = message->parser.advance(input);
  if (parsed == Parser::State::kBad) {
    return answer(message->parser.refusal(), message->parser.cause(), 0, true);
  }
  if (parsed != Parser::State::kDone) {
    if (parsed == Parser::State::kBody && !told_to_go_on_ && message->head().find(input, "expect")) {
      told_to_go_on_ = true;
      const std::array<std::string_view, 1> pieces = {"HTTP/1.1 100 Continue\r\n\r\n"};
      stream.send(pieces);
    }
    if (parsed == Parser::State::kBody && message->parser.large()) begin_request_body();
    return;
  }
  if (left_while_unread()) return;
  // The message keeps its bytes, whatever comes in after them.
  const std::size_t size = message->parser.size();
  std::string rest = input.size() > size ? input.substr(size) : std::string();
  message->raw = std::move(input);
  message->raw.resize(size);
  input = std::move(rest);
  keep_alive_ = message->head().keep_alive;
  used = true;
  stand_unused(false);
  state = State::kWaiting;
  host_.begin(*this);
}

// Guards against sending on for a client that left while its request lay unread: that end came right behind.
bool Client::left_while_unread() {
  if (!stream.ended()) return false;
  host_.left_early();
  host_.forget(*this, Ending::kPeerClosed);
  return true;
}

void Client::read_all() {
  for (int read = 0; read < kMostReads && stream.read_now(); ++read) continue;
}

bool Client::still_waits() {
  if (!stream.open()) return false;
  if (!stream.ended()) return true;
  // Not from within the caller, who is busy with this very request.
  loop_.later([this, hold = shared_from_this()] {
    if (stream.open()) on_end(stream, Ending::kPeerClosed);
  });
  return false;
}

// ---- a request's body that comes by parts ----

void Client::begin_request_body() {
  if (left_while_unread()) return;
  used = true;
  stand_unused(false);
  state = State::kWaiting;
  cut_short = true;
  const auto& flows = host_.flows();
  // Never sent on, so trying again is harmless.
  if (!flows || !flows->room())
    return answer(flows ? 503 : 413, "no memory for one more large body", 0, true);
  message->raw = std::exchange(stream.input(), {});
  std::string first = message->parser.take_body(message->raw);
  keep_alive_ = message->head().keep_alive;
  message->flow = std::make_shared<net::Flow>(flows, message->parser.length());
  message->flow->put(std::move(first));
  request_body = std::make_shared<RequestBodyForwarder>(loop_, stream, message->flow);
  host_.begin(*this);
}

void Client::take_request_body() {
  const std::shared_ptr<Client> hold = shared_from_this();
  const std::shared_ptr<RequestBodyForwarder> taking = request_body;
  message->raw += std::exchange(stream.input(), {});
  const Parser::State parsed = message->parser.advance(message->raw);
  if (parsed == Parser::State::kBad) {
    return host_.break_off(*this, message->parser.refusal(), message->parser.cause(),
                           manage::RequestEnd::kLeft);
  }
  std::string part = message->parser.take_body(message->raw);
  if (parsed == Parser::State::kDone) {
    stream.input() = message->raw.substr(message->parser.size());
    message->raw.resize(message->parser.size());
    host_.whole(*this);
    return taking->end(std::move(part));
  }
  taking->put(std::move(part));
}

// ---- answers ----

void Client::pass_on(const Message& answer, std::shared_ptr<net::Flow> flow) {
  host_.answered(200);
  response_forwarder = std::make_shared<ResponseForwarder>(std::move(flow), message->head().minor, last());
  state = State::kForwarding;
  response_forwarder->begin(
      stream, answer, [this] { pump(); }, loop_.now());
  pump();
}

void Client::pump() {
  if (state != State::kForwarding || !stream.open() || !stream.flushed()) return;
  const std::shared_ptr<ResponseForwarder> hold = response_forwarder;
  switch (hold->pump(stream, loop_.now())) {
    case ResponseForwarder::Step::kGoesOn:
      return;
    case ResponseForwarder::Step::kWhole:
      host_.release(*this, manage::RequestEnd::kPassed);
      return answered(hold->last());
    case ResponseForwarder::Step::kCut:
      // The client must see that it is not whole: an end of the connection alone may be one of the body.
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

void Client::answer(const Refusal& words, bool end) {
  host_.answered(words.status);
  if (end) keep_alive_ = false;
  const bool bye = last();
  const std::string_view line = words.cause;
  const std::string head = own_head(words, line.size() + 1, bye);
  const std::array<std::string_view, 3> pieces = {head, line, "\n"};
  stream.send(pieces);
  answered(bye);
}

void Client::pass(const Message& answer) {
  host_.answered(200);
  const bool bye = last();
  pass_whole(stream, answer, message->head().method.in(message->raw) == "HEAD", bye);
  answered(bye);
}

// Guards against letting go of a request that has come already behind this one: it was taken, and whoever
// sent it waits for its answer.
bool Client::last() const {
  return !keep_alive_ || forwarding_request_body() || (host_.ends_with(*this) && stream.quiet());
}

void Client::stand_unused(bool unused) {
  if (unused != std::exchange(counted_, unused)) host_.unused(unused);
}

void Client::answered(bool bye) {
  leave_bodies();
  request = 0;
  begun_at = 0;
  told_to_go_on_ = false;
  last_used = loop_.now();
  answered_before = true;
  stand_unused(!bye);
  if (bye) {
    return end_sending();
  }
  state = State::kReading;
  host_.free_again();
  message = std::make_shared<Message>(Parser::Kind::kRequest, net::kMaxRequestBody);
  stream.want_input(true);
  if (stream.input().empty()) return;
  // The next request has come already; not from within this one's answer.
  loop_.later([this, hold = shared_from_this()] {
    if (stream.open() && state == State::kReading) guarded(&Client::read);
  });
}

// By halves: with bytes unread, a close would reset the connection and take the answer along.
void Client::end_sending() {
  state = State::kClosing;
  lingering_close.begin(loop_.now(), cut_short);
  stream.want_input(true);
  if (stream.flushed()) stream.close_sending();
}

bool Client::part() {
  if (!guard::may_close_client({.under_way = !idle(), .unread = !stream.quiet()})) return false;
  stand_unused(false);
  end_sending();
  return true;
}

bool Client::yield() {
  if (state == State::kClosing) {
    stream.read_now();
    return !stream.open() || stream.quiet();
  }
  return part() && stream.flushed() && stream.quiet();
}

void Client::on_flushed(Stream&) {
  if (state == State::kForwarding) return guarded(&Client::pump);
  if (state == State::kClosing) stream.close_sending();
}

void Client::on_end(Stream&, Ending ending) {
  const RequestId gone = state == State::kWaiting ? request : 0;
  if (gone != 0) host_.left_unanswered(*this, ending);
  if (state == State::kWaiting || state == State::kForwarding)
    host_.release(*this, manage::RequestEnd::kLeft);
  host_.forget(*this, ending);
  if (gone != 0) host_.gone(gone);
}

}  // namespace shorelead::node
