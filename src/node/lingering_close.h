// A client's connection after this side has sent its end: bytes that still come are dropped, never read as a
// request. Owns for how long and how many: a close over unread bytes would reset the connection, and an
// answer on its way with it. It must never close anything itself.
#pragma once

#include <cstddef>

#include "base/millis.h"
#include "net/http.h"

namespace shorelead::node {

class LingeringClose {
 public:
  // `cut_short`: answered in the middle of a body, so it may have to send for a while before it reads.
  void begin(Millis now, bool cut_short) {
    since_ = now;
    cut_short_ = cut_short;
  }
  // Whether so many more may still come.
  bool drop(std::size_t bytes, Millis now) {
    dropped_ += bytes;
    if (cut_short_) since_ = now;
    return dropped_ <= (cut_short_ ? net::kMaxRequestBody : kMostDropped);
  }
  bool over(Millis now) const { return now - since_ >= kLinger; }

 private:
  static constexpr std::size_t kMostDropped = 1048576;
  static constexpr Millis kLinger = 1000;  // for a client to close after its last answer

  std::size_t dropped_ = 0;
  Millis since_ = 0;
  bool cut_short_ = false;
};

}  // namespace shorelead::node
