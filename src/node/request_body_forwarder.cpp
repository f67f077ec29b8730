#include "node/request_body_forwarder.h"

#include <utility>

namespace shorelead::node {

RequestBodyForwarder::RequestBodyForwarder(Loop& loop, Stream& stream, std::shared_ptr<net::Flow> flow)
    : loop_(loop), stream_(stream), flow_(std::move(flow)) {
  flow_->set_source({[this] {
                       resumed_at_ = loop_.now();
                       if (paused_at_ > 0) paused_total_ += resumed_at_ - std::exchange(paused_at_, 0);
                       stream_.want_input(true);
                     },
                     {}});
}

RequestBodyForwarder::Read RequestBodyForwarder::read(Message& message) {
  message.raw += std::exchange(stream_.input(), {});
  const Parser::State parsed = message.parser.advance(message.raw);
  if (parsed == Parser::State::kBad) return Read::kBad;
  part_ = message.parser.take_body(message.raw);
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
  if (!flow_->full() || flow_->ended() || left_) return;
  paused_at_ = loop_.now();
  stream_.want_input(false);
}

void RequestBodyForwarder::leave() {
  left_ = true;
  flow_->set_source({});
  flow_->cut();
}

}  // namespace shorelead::node
