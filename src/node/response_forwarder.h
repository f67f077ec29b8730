// Forwards a response to a client while it is received. Owns the client's end of the body's flow and the
// framing of the body. Reports the progress of the body; ending the request and the connection is up to the
// caller.
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

  // Sends the head at once. `pump` is called whenever there is more of the body to send with pump().
  void begin(Stream& stream, const Message& response, const std::function<void()>& pump, Millis now);
  Step pump(Stream& stream, Millis now);
  // The client takes no more of the body.
  void leave();

  bool last() const { return last_; }
  // Without a length and without chunks, the end of the connection is the end of the body.
  bool ends_with_connection() const { return !flow_->length() && !chunked_; }
  Millis progress_at() const { return progress_at_; }  // when bytes were last passed to the connection

 private:
  const std::shared_ptr<net::Flow> flow_;
  const bool chunked_;
  const bool last_;
  Millis progress_at_ = 0;
};

}  // namespace shorelead::node
