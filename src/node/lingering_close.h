// The state of a client connection after this side has closed its sending half: bytes that still arrive are
// dropped and not read as a request. Bounds for how long and how many. Without this, closing with unread
// bytes would reset the connection, and the client could lose the response.
#pragma once

#include <cstddef>

#include "base/millis.h"
#include "net/http.h"

namespace shorelead::node {

class LingeringClose {
 public:
  // `mid_body`: answered before its body was received whole; the client may send for a while before it reads.
  void begin(Millis now, bool mid_body) {
    since_ = now;
    mid_body_ = mid_body;
  }
  // Counts dropped bytes. Whether the connection may stay open.
  bool drop(std::size_t bytes, Millis now) {
    dropped_ += bytes;
    if (mid_body_) since_ = now;
    return dropped_ <= (mid_body_ ? net::kMaxRequestBody : kMaxDropped);
  }
  bool over(Millis now) const { return now - since_ >= kLinger; }

 private:
  static constexpr std::size_t kMaxDropped = 1048576;  // bytes
  static constexpr Millis kLinger = 1000;              // for a client to close after its last response

  std::size_t dropped_ = 0;
  Millis since_ = 0;
  bool mid_body_ = false;
};

}  // namespace shorelead::node
