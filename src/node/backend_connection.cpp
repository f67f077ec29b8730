#include "node/backend_connection.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "node/connecting.h"
#include "node/connections.h"
#include "node/recorder.h"
#include "node/request_head.h"
#include "node/streamed_responses.h"

namespace shorelead::node {
namespace {

constexpr double kHoldBegun = 0.7;   // of an attempt's time, for which an answer of unknown length is kept
constexpr Millis kLookAtBody = 250;  // how often a request's body that goes out is looked after

}  // namespace

Upstream::Connection::Connection(Upstream& owner, BackendId backend, std::string dial,
                                 const std::optional<Poco::Net::SocketAddress>& address)
    : owner(owner),
      backend(backend),
      dial(std::move(dial)),
      opened_at(owner.loop_.now()),
      stream(owner.loop_, *this, address) {}

// What was decided in time may have waited for its connection since. The client is looked at last: between
// that and the write no clock is read, behind which this process may be held up. So is the connection.
guard::Verdict Upstream::Connection::may_write(Millis now) const {
  if (job->probe) return {};
  guard::RequestState request;
  guard::BackendState there;
  request.due = job->until;
  request.repeat_until = job->begin_by;
  request.attempts = job->attempt;
  request.max_attempts = job->attempt + 1;
  request.parallel = true;  // as far as the connection knows
  request.in_flight = owner.others_out(*this);
  // Of two attempts only one can have a body that comes by parts.
  const auto& flow = job->message->flow;
  request.body_taken = flow && (flow->touched() || flow->has_sink());
  owner.listener_.describe(job->request, backend, now, request, there);
  return guard::may_write(request, there, now);
}

// Not from within the caller, who is still busy with what it had decided.
void Upstream::Connection::end_unsent(Ending ending) {
  owner.loop_.later([hold = shared_from_this(), serial = job->serial, ending] {
    if (hold->job && hold->job->serial == serial) hold->owner.finish(*hold, ending, nullptr, false);
  });
}

Millis Upstream::Connection::limit() const {
  if (!stream.connected()) return std::min({job->until, job->begin_by, job->connect_by, job->connect_again});
  if (sending_body()) return std::min(std::max(job->until, owner.loop_.now() + kLookAtBody), job->begin_by);
  if (!written()) return std::min(job->until, job->begin_by);
  // Kept for most of the attempt's time, as a short answer is better whole: until then it can still be
  // another's.
  return job->begun ? job->started + kHoldBegun * (job->until - job->started) : job->until;
}

void Upstream::Connection::write_request(Ending if_not_quiet) {
  const Millis now = owner.loop_.now();
  const Millis left = job->until - now;
  answer = Message(Parser::Kind::kResponse, net::kMaxResponseBody);
  std::vector<std::string_view> pieces;
  std::string own;
  if (job->probe) {
    own = "GET /-/load HTTP/1.1\r\nHost: " + dial + "\r\n\r\n";
    pieces.push_back(own);
  } else {
    const Message& message = *job->message;
    request_head(message, left, own, pieces);
    if (message.head().method.in(message.raw) == "HEAD") answer.parser.expect_no_body();
    pieces.push_back(message.body());
  }
  Recorder* const recorder = owner.listener_.recorder;
  if (const guard::Verdict verdict = may_write(now); !verdict) {
    if (recorder != nullptr) recorder->attempt_denied(job->request, job->attempt, verdict.reason);
    return end_unsent(Ending::kStoppedUnsent);
  }
  // An end, or bytes, that lie there already came before the request: so it cannot have run, and has no
  // answer.
  if (!stream.quiet()) {
    if (recorder != nullptr && !job->probe)
      recorder->attempt_denied(job->request, job->attempt, guard::Reason::kInputUnread);
    return end_unsent(if_not_quiet);
  }
  stream.send(pieces);
  asked = true;
  if (recorder != nullptr && !job->probe)
    recorder->attempt_written(job->request, job->attempt, backend, owner.listener_.withdrawn(backend, now),
                              left, now);
  if (!job->probe && job->message->flow) begin_body();
  note_written();
}

// ---- a request's body that comes by parts ----

void Upstream::Connection::begin_body() {
  body = job->message->flow;
  stream.bound_send_buffer();
  body->set_sink({[this] { send_body(); },
                  [this] {
                    // Its client left, or spoilt it: what the backend has is not whole, so it cannot run.
                    if (job) end_unsent(Ending::kStoppedUnsent);
                  }});
  body_moved = owner.loop_.now();
  send_body();
}

void Upstream::Connection::send_body() {
  if (!job || !body || body_sent || !stream.open() || !stream.flushed()) return;
  const std::string part = body->take();
  const bool last = body->ended() && body->empty();
  if (part.empty() && !last) return;
  body_moved = owner.loop_.now();
  if (last && body_moved >= job->begin_by) return end_unsent(Ending::kStoppedUnsent);
  body_sent = last;
  stream.send(net::FramedPart(part, !body->length(), last).pieces());
  // While a request's body comes, its time stands: from the last byte on the attempt has as long as it was
  // given. What is told of its length is the backend's time: were the client's with its body in it, every
  // backend would look slow, and requests be refused for it.
  if (last) job->until = body_moved + std::max(job->until - std::exchange(job->started, body_moved), 1.0);
  note_written();
  if (last) owner.watch(*this);
}

void Upstream::Connection::leave_body() {
  if (body) body->clear_sink();
  body.reset();
  body_sent = false;
}

// Counts the attempt at hand once its last byte is written.
void Upstream::Connection::note_written() {
  if (!job || job->probe || job->counted || !written()) return;
  job->counted = true;
  ++owner.written_;
}

void Upstream::Connection::on_flushed(Stream&) {
  if (sending_body()) return send_body();
  if (!job) return;
  note_written();
  owner.watch(*this);
}

void Upstream::Connection::on_connected(Stream&) {
  if (!job) return;
  owner.connecting_->came_up(*this);
  write_request(Ending::kBrokenUnsent);
  owner.watch(*this);
}

// ---- an answer that goes on coming while it is passed on ----

// Whether more is to come, or it has ended; tells the flow.
void Upstream::Connection::flow_on() {
  const std::shared_ptr<Connection> hold = shared_from_this();
  moved_at = owner.loop_.now();
  answer.raw += std::exchange(stream.input(), {});
  const Parser::State state = answer.parser.advance(answer.raw);
  const std::shared_ptr<net::Flow> flow = answer_flow;
  if (state != Parser::State::kBad) flow->put(answer.parser.take_body(answer.raw));
  if (!answer_flow) return;  // nobody wants it any more
  if (state == Parser::State::kBad) return end_flow(false);
  if (state == Parser::State::kDone) return end_flow(true);
  if (flow->full()) stream.want_input(false);
}

void Upstream::Connection::end_flow(bool whole) {
  const std::shared_ptr<Connection> hold = shared_from_this();
  const std::shared_ptr<net::Flow> flow = std::exchange(answer_flow, nullptr);
  flow->set_source({});
  owner.streamed_responses_->ended(*this);
  const bool keep = whole && answer.head().keep_alive && answer.raw.size() == answer.parser.size() && clean &&
                    !withdrawn && stream.open() && owner.listener_.keep(false);
  if (keep) {
    stream.want_input(true);
    owner.connections_->rest(*this, true);
  } else {
    owner.connections_->forget(*this, whole ? Ending::kDone : Ending::kBroken);
  }
  whole ? flow->end() : flow->cut();
}

void Upstream::Connection::on_input(Stream&) {
  if (answer_flow) return flow_on();
  if (!job) return owner.connections_->forget(*this, Ending::kUnasked);  // never to be used again
  answer.raw = std::exchange(stream.input(), {});
  Parser::State state = answer.parser.advance(answer.raw);
  // Interim answers, however many: the final one follows. But nobody asked for another protocol.
  while (state == Parser::State::kDone && answer.head().status < 200 && answer.head().status != 101) {
    answer.raw.erase(0, answer.parser.size());
    answer.parser.reset();
    state = answer.parser.advance(answer.raw);
  }
  if (state == Parser::State::kBad) return owner.finish(*this, Ending::kMalformed, nullptr, false);
  const int status = answer.head().status;
  if (state == Parser::State::kBody && answer.parser.large()) {
    // Of any but a 200 the rest does not matter.
    if (status != 200 || job->probe) return owner.finish(*this, judge(status), nullptr, false);
    return owner.pass_on(*this);
  }
  if (state != Parser::State::kDone) {
    stream.input() = std::move(answer.raw);
    // Of unknown length, and it may be a long one: its first bytes must not wait until much of it is here.
    if (state == Parser::State::kBody && status == 200 && !job->probe && !answer.parser.length() &&
        written() && !std::exchange(job->begun, true))
      owner.watch(*this);
    return;
  }
  if (status == 101) return owner.finish(*this, Ending::kMalformed, nullptr, false);
  // Bytes beyond the answer leave it open what the next one would be.
  const bool keep = answer.head().keep_alive && answer.raw.size() == answer.parser.size() && written();
  owner.finish(*this, judge(status), &answer, keep);
}

void Upstream::Connection::on_end(Stream&, Ending ending) {
  if (answer_flow) {
    return end_flow(ending == Ending::kPeerClosed && answer.parser.finish() == Parser::State::kDone);
  }
  if (!job) return owner.connections_->forget(*this, ending);
  answer.raw = std::move(stream.input());
  if (ending == Ending::kPeerClosed && answer.parser.finish() == Parser::State::kDone) {
    return owner.finish(*this, judge(answer.head().status), &answer, false);
  }
  owner.finish(*this, broken(ending), nullptr, false);
}

Ending Upstream::Connection::judge(int status) const {
  if (status == 200) return Ending::kServed;
  const bool away =
      job->probe ? status == 503 : (status == 503 || status == 504) && answer.value("x-not-processed") == "1";
  return away ? Ending::kRejected : Ending::kErred;
}

// The stream is closed by now, so what was written is as it was before.
Ending Upstream::Connection::broken(Ending ending) const {
  if (ending == Ending::kRefused || ending == Ending::kNoDescriptor) return ending;
  return written() ? Ending::kBroken : Ending::kBrokenUnsent;
}

}  // namespace shorelead::node
