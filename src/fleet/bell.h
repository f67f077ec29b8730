// Wakes a thread that waits in its event loop, by an eventfd. Any thread may ring; one thread waits. Owns the
// descriptor.
#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <system_error>

namespace shorelead::fleet {

class Bell {
 public:
  Bell() : fd_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (fd_ < 0) throw std::system_error(errno, std::generic_category(), "eventfd");
  }
  ~Bell() { ::close(fd_); }
  Bell(const Bell&) = delete;
  Bell& operator=(const Bell&) = delete;

  void ring() {
    const std::uint64_t one = 1;
    // A write fails with EAGAIN only after 2^64 - 2 unread ones, and then the descriptor is readable anyway.
    while (::write(fd_, &one, sizeof one) < 0 && errno == EINTR) continue;
  }
  void hush() {
    std::uint64_t count = 0;
    while (::read(fd_, &count, sizeof count) < 0 && errno == EINTR) continue;
  }
  int fd() const { return fd_; }  // readable after `ring` until `hush`

 private:
  const int fd_;
};

}  // namespace shorelead::fleet
