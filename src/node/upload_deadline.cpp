#include "node/upload_deadline.h"

namespace shorelead::node {

void UploadDeadline::read(std::uint64_t received, bool caught_up, Millis now) {
  const std::uint64_t least_length = length_.value_or(received + 1);
  if (caught_up || received + kMaxUnread < least_length) return this->caught_up();
  if (!running()) {
    checkpoints_ = {{received, now}};
  } else if (received >= checkpoints_.back().received + kCheckpointBytes) {
    checkpoints_.push_back({received, now});
  }
  // What still came after a checkpoint, and is to come, cannot all have lain unread then.
  while (checkpoints_.size() > 1 && checkpoints_[1].received + kMaxUnread < least_length)
    checkpoints_.pop_front();
  may_be_written_since_ = checkpoints_.front().at;
}

}  // namespace shorelead::node
