// An answer that is passed on to a client while it comes. Owns the client's end of its body's flow, and how
// the body is framed; it must never end the connection or the request: it says what has come of the body.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "net/flow.h"
#include "node/net.h"

namespace shorelead::node {

// One that is there whole, in one write; `headed`: only its head was asked for.
void pass_whole(Stream& stream, const Message& answer, bool headed, bool last);

class ResponseForwarder {
 public:
  enum class Step { kGoesOn, kWhole, kCut };

  // `minor`: of the client's HTTP/1. Begun where the connection takes nothing after this answer if `last`.
  ResponseForwarder(std::shared_ptr<net::Flow> flow, int minor, bool last)
      : flow_(std::move(flow)),
        chunked_(!flow_->length() && minor == 1),
        last_(last || (!flow_->length() && !chunked_)) {}

  // The head, at once; then the body as it comes: `pump` is called when there is more of it.
  void begin(Stream& stream, const Message& answer, const std::function<void()>& pump, Millis now);
  Step pump(Stream& stream, Millis now);
  // Nobody takes any more of it.
  void leave();

  // Without a length and chunks the end of the connection is the end of the body.
  bool last() const { return last_; }
  bool ends_with_connection() const { return !flow_->length() && !chunked_; }
  Millis moved_at() const { return moved_at_; }

 private:
  const std::shared_ptr<net::Flow> flow_;
  const bool chunked_;
  const bool last_;
  Millis moved_at_ = 0;
};

}  // namespace shorelead::node
