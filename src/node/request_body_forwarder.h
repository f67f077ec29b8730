// Forwards a request body while it is received. Owns the source side of the body's flow (net/flow.h) and the
// time for which this node stopped reading from the client because the backend took nothing. Does not end the
// request.
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

  enum class Read { kMore, kComplete, kBad };
  // Parses what the stream has received; of a complete body it leaves what follows in the stream's buffer.
  // forward() then passes the part on.
  Read read(Message& message);
  void forward();
  void cut() { flow_->cut(); }  // the body stays incomplete
  void leave();                 // the same, and the client's stream is used no more

  bool ended() const { return flow_->ended(); }
  std::uint64_t received() const { return flow_->passed(); }  // bytes
  bool paused() const { return paused_at_ > 0; }              // reading from the client is stopped
  Millis paused_total() const { return paused_total_; }
  Millis resumed_at() const { return resumed_at_; }  // when reading was last resumed; 0 = never

 private:
  Loop& loop_;
  Stream& stream_;
  const std::shared_ptr<net::Flow> flow_;
  std::string part_;  // that was read and not passed on
  bool complete_ = false;
  bool left_ = false;
  Millis paused_total_ = 0;
  Millis paused_at_ = 0;  // 0 = not paused
  Millis resumed_at_ = 0;
};

}  // namespace shorelead::node
