// A request's body that is passed on while it comes. Owns the client's end of its flow, and for how long this
// node held the client back because nobody took it; it must never parse, nor end the request.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "net/flow.h"
#include "node/net.h"

namespace shorelead::node {

class RequestBodyForwarder {
 public:
  RequestBodyForwarder(Loop& loop, Stream& stream, std::shared_ptr<net::Flow> flow);

  void put(std::string part);
  void end(std::string last);
  void cut() { flow_->cut(); }  // the rest will not come
  void leave();                 // and nobody brings any more of it

  bool ended() const { return flow_->ended(); }
  std::uint64_t passed() const { return flow_->passed(); }
  bool holds_back() const { return held_at_ > 0; }
  Millis held() const { return held_; }
  Millis resumed_at() const { return resumed_at_; }  // when it was last let go on; 0 = it never was held back

 private:
  Loop& loop_;
  Stream& stream_;
  const std::shared_ptr<net::Flow> flow_;
  bool left_ = false;
  Millis held_ = 0;
  Millis held_at_ = 0;  // since then; 0 = not now
  Millis resumed_at_ = 0;
};

}  // namespace shorelead::node
