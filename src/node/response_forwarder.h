// Forwards a response to a client while it is received. Owns the sink side of the body's flow (net/flow.h),
// the framing of the body, and the time of the request from the response's first byte to its last. Reports
// the progress of the body; the caller ends the request and the connection.
#pragma once

#include <functional>
#include <memory>

#include "limits/response_deadline.h"
#include "net/flow.h"
#include "node/net.h"

namespace shorelead::node {

// Sends a response that is complete, in one write; `head_only`: to a HEAD request.
void send_complete(Stream& stream, const Message& response, bool head_only, bool last);

class ResponseForwarder {
 public:
  enum class Step { kContinues, kComplete, kTruncated };

  // `due`: the deadline of the request; `minor`: the client's HTTP/1 minor version; `last`: the connection
  // closes after this response.
  ResponseForwarder(Loop& loop, std::shared_ptr<net::Flow> flow, Millis due, int minor, bool last);
  ~ResponseForwarder() { loop_.cancel(timer_); }
  ResponseForwarder(const ResponseForwarder&) = delete;
  ResponseForwarder& operator=(const ResponseForwarder&) = delete;

  // Sends the head at once. The callback `pump` is called whenever more of the body or its end has arrived,
  // its source has failed or its time is over; it has to call the member function pump(). `stream` outlives
  // this object.
  void begin(Stream& stream, const Message& response, const std::function<void()>& pump);
  Step pump(Stream& stream);
  // Stops forwarding: the client takes no more of the body.
  void leave();

  bool last() const { return last_; }
  // Whether closing the connection marks the end of the body, as it has neither a length nor chunks.
  bool ends_with_connection() const { return !flow_->length() && !chunked_; }
  Millis progress_at() const { return progress_at_; }  // when bytes were last passed to the connection

 private:
  void check_at(const Stream& stream, Millis at);
  void check(const Stream& stream);

  Loop& loop_;
  const std::shared_ptr<net::Flow> flow_;
  const bool chunked_;
  const bool last_;
  limits::ResponseDeadline deadline_;
  std::function<void()> pump_;
  Loop::TimerId timer_ = 0;
  bool input_handled_ = false;  // whatever had arrived when the deadline expired
  bool expired_ = false;
  Millis progress_at_ = 0;
};

}  // namespace shorelead::node
