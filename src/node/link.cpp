#include "node/link.h"

#include <utility>
#include <vector>

#include "node/connections.h"
#include "node/long_answers.h"
#include "node/request_head.h"

namespace shorelead::node {

Upstream::Link::Link(Upstream& owner, BackendId backend, std::string dial,
                     const std::optional<Poco::Net::SocketAddress>& address)
    : owner(owner), backend(backend), dial(std::move(dial)), stream(owner.loop_, *this, address) {}

void Upstream::Link::limit(Millis when, const Loop::Task& reached) {
  owner.loop_.cancel(job->limit);
  job->limit = owner.loop_.at(when, [hold = shared_from_this(), reached] {
    hold->job->limit = 0;
    reached();
  });
}

void Upstream::Link::write_request() {
  if (!job->probe && !owner.listener_.may_write(job->request)) {
    // Not from within the caller, who is still busy with what it had decided.
    return owner.loop_.later([hold = shared_from_this(), serial = job->serial] {
      if (hold->job && hold->job->serial == serial) {
        hold->owner.finish(*hold, Ending::kStoppedUnsent, nullptr, false);
      }
    });
  }
  answer = Message(Parser::Kind::kResponse, net::kAnyLength);
  std::vector<std::string_view> pieces;
  std::string own;
  if (job->probe) {
    own = "GET /-/load HTTP/1.1\r\nHost: " + dial + "\r\n\r\n";
    pieces.push_back(own);
  } else {
    const Message& message = *job->message;
    request_head(message, job->until - owner.loop_.now(), own, pieces);
    if (message.head().method.in(message.raw) == "HEAD") answer.parser.expect_no_body();
    pieces.push_back(message.body());
  }
  stream.send(pieces);
  asked = true;
  if (!job->probe && job->message->flow) begin_body();
  note_written();
}

// ---- a request's body that comes by parts ----

void Upstream::Link::begin_body() {
  body = job->message->flow;
  stream.bound_send_buffer();
  body->set_sink({[this] { send_body(); },
                  [this] {
                    // Its client left, or spoilt it: what the backend has is not whole, so it cannot run.
                    owner.loop_.later([hold = shared_from_this(), serial = job ? job->serial : 0] {
                      Link& link = *hold;
                      if (link.job && link.job->serial == serial)
                        link.owner.finish(link, Ending::kStoppedUnsent, nullptr, false);
                    });
                  }});
  body_moved = owner.loop_.now();
  send_body();
}

void Upstream::Link::send_body() {
  if (!job || !body || body_sent || !stream.open() || !stream.flushed()) return;
  const std::string part = body->take();
  const bool last = body->ended() && body->empty();
  if (part.empty() && !last) return;
  body_moved = owner.loop_.now();
  body_sent = last;
  stream.send(net::FramedPart(part, !body->length(), last).pieces());
  if (last) owner.body_limit(shared_from_this());
  note_written();
}

void Upstream::Link::leave_body() {
  if (body) body->clear_sink();
  body.reset();
  body_sent = false;
}

// Counts the attempt at hand once its last byte is written.
void Upstream::Link::note_written() {
  if (!job || job->probe || job->counted || !written()) return;
  job->counted = true;
  ++owner.written_;
}

void Upstream::Link::on_flushed(Stream&) {
  if (body && !body_sent) return send_body();
  note_written();
}

void Upstream::Link::on_connected(Stream&) {
  if (!job) return;
  owner.connect_wait_.came_up(backend, owner.loop_.now() - job->started);
  write_request();
}

// ---- an answer that goes on coming while it is passed on ----

// Whether more is to come, or it has ended; tells the flow.
void Upstream::Link::flow_on() {
  const std::shared_ptr<Link> hold = shared_from_this();
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

void Upstream::Link::end_flow(bool whole) {
  const std::shared_ptr<Link> hold = shared_from_this();
  const std::shared_ptr<net::Flow> flow = std::exchange(answer_flow, nullptr);
  flow->set_source({});
  owner.long_answers_->ended(*this);
  const bool keep = whole && answer.head().keep_alive && answer.raw.size() == answer.parser.size() && clean &&
                    !withdrawn && stream.open() && owner.listener_.keep(false);
  if (keep) {
    stream.want_input(true);
    owner.connections_->rest(*this, true);
  } else {
    owner.connections_->forget(*this);
  }
  whole ? flow->end() : flow->cut();
}

void Upstream::Link::on_input(Stream&) {
  if (answer_flow) return flow_on();
  if (!job) return owner.connections_->forget(*this);  // it says something unasked: never to be used again
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
    if (state == Parser::State::kBody && status == 200 && !job->probe && !answer.parser.length() && written())
      owner.begun(shared_from_this());
    return;
  }
  if (status == 101) return owner.finish(*this, Ending::kMalformed, nullptr, false);
  // Bytes beyond the answer leave it open what the next one would be.
  const bool keep = answer.head().keep_alive && answer.raw.size() == answer.parser.size() && written();
  owner.finish(*this, judge(status), &answer, keep);
}

void Upstream::Link::on_end(Stream&, Ending ending) {
  if (answer_flow) {
    return end_flow(ending == Ending::kPeerClosed && answer.parser.finish() == Parser::State::kDone);
  }
  if (!job) return owner.connections_->forget(*this);
  answer.raw = std::move(stream.input());
  if (ending == Ending::kPeerClosed && answer.parser.finish() == Parser::State::kDone) {
    return owner.finish(*this, judge(answer.head().status), &answer, false);
  }
  owner.finish(*this, broken(ending), nullptr, false);
}

Ending Upstream::Link::judge(int status) const {
  if (status == 200) return Ending::kServed;
  const bool away =
      job->probe ? status == 503 : (status == 503 || status == 504) && answer.value("x-not-processed") == "1";
  return away ? Ending::kTurnedAway : Ending::kErred;
}

// The stream is closed by now, so what was written is as it was before.
Ending Upstream::Link::broken(Ending ending) const {
  if (ending == Ending::kRefused || ending == Ending::kNoDescriptor) return ending;
  return written() ? Ending::kBroken : Ending::kBrokenUnsent;
}

}  // namespace shorelead::node
