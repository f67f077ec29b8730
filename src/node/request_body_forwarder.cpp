#include "node/request_body_forwarder.h"

#include <utility>

namespace shorelead::node {
namespace {

// After a pause, for the client's system to send what it could not while this node did not read.
constexpr Millis kRefillTime = 20;

}  // namespace

RequestBodyForwarder::RequestBodyForwarder(Loop& loop, Stream& stream, std::shared_ptr<net::Flow> flow)
    : loop_(loop), stream_(stream), flow_(std::move(flow)) {
  flow_->set_source({[this] { resume(); }, {}});
}

void RequestBodyForwarder::hold_time(Millis timeout, std::function<void()> overdue) {
  deadline_.emplace(timeout, flow_->length());
  overdue_ = std::move(overdue);
  observe();
}

void RequestBodyForwarder::resume() {
  resumed_at_ = loop_.now();
  stream_.limit_reads(flow_->space());
  if (paused_at_ > 0) paused_total_ += resumed_at_ - std::exchange(paused_at_, 0);
  stream_.want_input(true);
}

// Whether the client may have been unable to send, as this node did not read.
bool RequestBodyForwarder::held_back() const {
  return paused() || (resumed_at_ > 0 && loop_.now() - resumed_at_ < kRefillTime);
}

RequestBodyForwarder::Read RequestBodyForwarder::read(Message& message) {
  message.raw += std::exchange(stream_.input(), {});
  const Parser::State parsed = message.parser.advance(message.raw);
  if (parsed == Parser::State::kBad) return Read::kBad;
  part_ = message.parser.take_body(message.raw);
  message.raw.shrink_to_fit();
  if (parsed != Parser::State::kDone) return Read::kMore;
  complete_ = true;
  stream_.input() = message.raw.substr(message.parser.size());
  message.raw.resize(message.parser.size());
  return Read::kComplete;
}

// The sink that takes the part may end the request, which drops this object: the caller keeps it alive.
void RequestBodyForwarder::forward() {
  flow_->put(std::exchange(part_, {}));
  if (complete_) return flow_->end();
  if (flow_->ended() || left_) return;
  if (flow_->full()) {
    paused_at_ = loop_.now();
    stream_.want_input(false);
  }
  stream_.limit_reads(flow_->space());
  observe();
}

void RequestBodyForwarder::observe() {
  if (!deadline_ || complete_ || left_) return;
  deadline_->read(received(), stream_.drained() && !held_back(), loop_.now());
  if (deadline_->running() && timer_ == 0) check();
}

void RequestBodyForwarder::check() {
  timer_ = 0;
  if (complete_ || left_ || !deadline_->running()) return;
  Millis next = deadline_->due();
  if (loop_.now() >= next) {
    const bool idle = stream_.open() && !stream_.has_unread_input();
    if (!idle || paused()) {
      const std::function<void()> overdue = overdue_;  // which may drop this object
      return overdue();
    }
    if (!held_back()) return deadline_->caught_up();
    next = resumed_at_ + kRefillTime;
  }
  timer_ = loop_.at(next, [this] { check(); });
}

void RequestBodyForwarder::leave() {
  left_ = true;
  flow_->set_source({});
  flow_->cut();
}

}  // namespace shorelead::node
