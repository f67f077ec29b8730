// Forwards a response to a client while it is received. Owns the sink side of the body's flow (net/flow.h)
// and the framing of the body. Reports the progress of the body; the caller ends the request and the
// connection.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "net/flow.h"
#include "node/net.h"

namespace shorelead::node {

// Sends a response that is complete, in one write; `head_only`: to a HEAD request.
void send_complete(Stream& stream, const Message& response, bool head_only, bool last);

class ResponseForwarder {
 public:
  enum class Step { kContinues, kComplete, kTruncated };

  // `minor`: the client's HTTP/1 minor version; `last`: the connection closes after this response.
  ResponseForwarder(std::shared_ptr<net::Flow> flow, int minor, bool last)
      : flow_(std::move(flow)),
        chunked_(!flow_->length() && minor == 1),
        last_(last || (!flow_->length() && !chunked_)) {}

  // Sends the head at once. The callback `pump` is called whenever more of the body or its end has arrived,
  // or its source has failed; it has to call the member function pump().
  void begin(Stream& stream, const Message& response, const std::function<void()>& pump, Millis now);
  Step pump(Stream& stream, Millis now);
  // Stops forwarding: the client takes no more of the body.
  void leave();

  bool last() const { return last_; }
  // Whether closing the connection marks the end of the body, as it has neither a length nor chunks.
  bool ends_with_connection() const { return !flow_->length() && !chunked_; }
  Millis progress_at() const { return progress_at_; }  // when bytes were last passed to the connection

 private:
  const std::shared_ptr<net::Flow> flow_;
  const bool chunked_;
  const bool last_;
  Millis progress_at_ = 0;
};

}  // namespace shorelead::node
