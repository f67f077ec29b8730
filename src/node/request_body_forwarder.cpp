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

// The sink that takes the part may end the request, which drops this object: the caller keeps it alive.
void RequestBodyForwarder::put(std::string part) {
  flow_->put(std::move(part));
  if (!flow_->full() || flow_->ended() || left_) return;
  paused_at_ = loop_.now();
  stream_.want_input(false);
}

void RequestBodyForwarder::end(std::string last) {
  flow_->put(std::move(last));
  flow_->end();
}

void RequestBodyForwarder::leave() {
  left_ = true;
  flow_->set_source({});
  flow_->cut();
}

}  // namespace shorelead::node
