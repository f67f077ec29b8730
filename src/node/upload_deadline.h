// Since when a client may have written the last byte of a body that this node has not read whole. Until then
// it is known to be still writing, and its request's time does not run. While this node reads more slowly
// than the client writes, as its backend takes no more, the last byte may lie unread in either machine's
// buffers. Pure: the caller passes the time.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "base/millis.h"

namespace shorelead::node {

class UploadDeadline {
 public:
  // Bytes that the buffers of both machines may hold beyond what this node has read: by default 4 MB of a
  // Linux sender and 6 MB of a receiver (tcp(7)).
  static constexpr std::uint64_t kMaxUnread = 10U << 20;

  // `timeout`: for which the client waits; `length`: of the body, if stated.
  UploadDeadline(Millis timeout, std::optional<std::uint64_t> length) : timeout_(timeout), length_(length) {}

  // `received` bytes in all have been read. `caught_up`: nothing was left unread, and reading was not held
  // back.
  void read(std::uint64_t received, bool caught_up, Millis now);
  void caught_up() { may_be_written_since_ = 0; }

  bool running() const { return may_be_written_since_ > 0; }
  Millis may_be_written_since() const { return may_be_written_since_; }  // 0: the client is still writing
  Millis due() const { return may_be_written_since_ + timeout_; }        // if running

 private:
  static constexpr std::uint64_t kCheckpointBytes = 1U << 20;

  struct Checkpoint {
    std::uint64_t received = 0;
    Millis at = 0;
  };

  const Millis timeout_;
  const std::optional<std::uint64_t> length_;
  Millis may_be_written_since_ = 0;
  std::deque<Checkpoint> checkpoints_;  // since then
};

}  // namespace shorelead::node
