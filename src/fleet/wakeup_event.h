// Wakes a thread that waits in its event loop, by an eventfd. Any thread may notify; one thread waits. Owns
// the descriptor.
#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace shorelead::fleet {

class WakeupEvent {
 public:
  WakeupEvent() : fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  ~WakeupEvent() { ::close(fd_); }
  WakeupEvent(const WakeupEvent&) = delete;
  WakeupEvent& operator=(const WakeupEvent&) = delete;

  void notify() {
    const std::uint64_t one = 1;
    // A write fails with EAGAIN only after 2^64 - 2 unread ones, and then the descriptor is readable anyway.
    while (::write(fd_, &one, sizeof one) < 0 && errno == EINTR) continue;
  }
  void reset() {
    std::uint64_t count = 0;
    while (::read(fd_, &count, sizeof count) < 0 && errno == EINTR) continue;
  }
  int fd() const { return fd_; }  // readable after `notify` until `reset`

 private:
  const int fd_;
};

}  // namespace shorelead::fleet
