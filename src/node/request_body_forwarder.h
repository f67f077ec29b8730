// Forwards a request body while it is received. Owns the source side of the body's flow (net/flow.h) and the
// time for which this node stopped reading from the client because the backend took nothing. Holds the time
// of a request whose body the client may have written whole while this node has not read it; the caller ends
// such a request.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "node/net.h"
#include "node/upload_deadline.h"

namespace shorelead::node {

class RequestBodyForwarder {
 public:
  RequestBodyForwarder(Loop& loop, Stream& stream, std::shared_ptr<net::Flow> flow);
  ~RequestBodyForwarder() { loop_.cancel(timer_); }
  RequestBodyForwarder(const RequestBodyForwarder&) = delete;
  RequestBodyForwarder& operator=(const RequestBodyForwarder&) = delete;

  enum class Read { kMore, kComplete, kBad };
  // Parses what the stream has received; of a complete body it leaves what follows in the stream's buffer.
  // forward() then passes the part on.
  Read read(Message& message);
  void forward();
  // The client waits for `timeout` from its last byte on; `overdue` is called once that is over although the
  // body has not been read whole.
  void hold_time(Millis timeout, std::function<void()> overdue);
  void cut() { flow_->cut(); }  // the body stays incomplete
  void leave();                 // the same, and the client's stream is used no more

  bool ended() const { return flow_->ended(); }
  // The earliest time at which the client can have written the last byte of a complete body that was read at
  // `read_at`.
  Millis written_at(Millis read_at) const {
    return deadline_ && deadline_->running() ? std::min(deadline_->may_be_written_since(), read_at) : read_at;
  }
  std::uint64_t received() const { return flow_->passed(); }  // bytes
  bool paused() const { return paused_at_ > 0; }              // reading from the client is stopped
  Millis paused_at() const { return paused_at_; }             // 0: it is not
  Millis paused_total() const { return paused_total_; }
  Millis resumed_at() const { return resumed_at_; }  // when reading was last resumed; 0 = never

 private:
  void resume();
  bool held_back() const;
  void observe();
  void check();

  Loop& loop_;
  Stream& stream_;
  const std::shared_ptr<net::Flow> flow_;
  std::optional<UploadDeadline> deadline_;  // empty until hold_time()
  std::function<void()> overdue_;
  Loop::TimerId timer_ = 0;
  std::string part_;  // that was read and not passed on
  bool complete_ = false;
  bool left_ = false;
  Millis paused_total_ = 0;
  Millis paused_at_ = 0;  // 0 = not paused
  Millis resumed_at_ = 0;
};

}  // namespace shorelead::node
