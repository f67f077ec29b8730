// Replacements of C library calls that inject faults (fault_plan.h). They take precedence over the C library
// when they are linked into a test, or preloaded into a whole process, where SHORELEAD_FAULTS and
// SHORELEAD_FAULT_COUNTS configure them.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>

#include "faults/clock_readings.h"
#include "faults/fault_plan.h"

namespace {

using shorelead::faults::Call;
using shorelead::faults::Fault;
using shorelead::faults::next;

template <typename Function>
Function real(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}
#define REAL(name) real<decltype(&::name)>(#name)

// Whether the call fails; sets errno.
bool fails(Call call) {
  const auto fault = next(call);
  if (!fault || fault->partial) return false;
  errno = fault->error;
  return fault->error != 0;
}

// The same for a call that transfers bytes; may reduce `size`.
bool fails(Call call, std::size_t& size) {
  const auto fault = next(call);
  if (!fault) return false;
  if (fault->partial) {
    size = std::max<std::size_t>(std::min<std::size_t>(size, 1), size / 2);
    return false;
  }
  errno = fault->error;
  return true;
}

// Delays a write by 0.1 s to 0.15 s, as if the process was suspended between reading the clock and writing.
void stall() {
  if (!next(Call::kStall)) return;
  const timespec span{0, 100'000'000 + std::rand() % 50'000'000};
  ::nanosleep(&span, nullptr);
}

bool is_file(int fd) {
  struct stat info {};
  return fd > STDERR_FILENO && ::fstat(fd, &info) == 0 && S_ISREG(info.st_mode);
}

// Avoids the C++ library, whose calls may be failing here.
void die(const std::string& why) {
  std::fprintf(stderr, "faults: %s\n", why.c_str());
  ::_exit(2);
}

__attribute__((constructor)) void begin() {
  const char* const text = std::getenv("SHORELEAD_FAULTS");
  if (text == nullptr) return;
  std::string settings = text;
  // Each process of a run is given its own seed, so that processes do not fail in step and a rerun fails
  // alike.
  const char* const name = std::getenv("SHORELEAD_FAULT_COUNTS");
  if (name != nullptr && !shorelead::faults::count_into(name)) die(std::string(name) + " cannot be written");
  if (const auto trouble = shorelead::faults::draw_faults(settings)) die(*trouble);
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  static const auto call = REAL(accept4);
  return fails(Call::kAccept) ? -1 : call(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto call = REAL(socket);
  return fails(Call::kSocket) ? -1 : call(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto call = REAL(connect);
  return fails(Call::kConnect) ? -1 : call(fd, address, length);
}

int getsockopt(int fd, int level, int option, void* value, socklen_t* length) noexcept {
  static const auto call = REAL(getsockopt);
  const bool looked_at = level == SOL_SOCKET && option == SO_ERROR;
  return looked_at && fails(Call::kSocketError) ? -1 : call(fd, level, option, value, length);
}

ssize_t recv(int fd, void* into, size_t size, int flags) {
  static const auto call = REAL(recv);
  return fails((flags & MSG_PEEK) != 0 ? Call::kPeek : Call::kReceive, size) ? -1
                                                                             : call(fd, into, size, flags);
}

ssize_t send(int fd, const void* from, size_t size, int flags) {
  static const auto call = REAL(send);
  stall();
  return fails(Call::kSend, size) ? -1 : call(fd, from, size, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto call = REAL(sendmsg);
  stall();
  std::size_t size = 2;  // reduced to 1 for a partial transfer: only the first piece is sent
  if (fails(Call::kSendMessage, size)) return -1;
  if (size == 2 || message->msg_iovlen == 0) return call(fd, message, flags);
  msghdr part = *message;
  part.msg_iovlen = 1;
  return call(fd, &part, flags);
}

ssize_t read(int fd, void* into, size_t size) {
  static const auto call = REAL(read);
  const bool file = is_file(fd);
  if (file) return fails(Call::kReadFile, size) ? -1 : call(fd, into, size);
  return fails(Call::kRead) ? -1 : call(fd, into, size);
}

ssize_t write(int fd, const void* from, size_t size) {
  static const auto call = REAL(write);
  return is_file(fd) && fails(Call::kWriteFile, size) ? -1 : call(fd, from, size);
}

int epoll_wait(int fd, epoll_event* events, int most, int wait) {
  static const auto call = REAL(epoll_wait);
  return fails(Call::kEpollWait) ? -1 : call(fd, events, most, wait);
}

int epoll_ctl(int fd, int operation, int other, epoll_event* event) noexcept {
  static const auto call = REAL(epoll_ctl);
  const bool may_fail = operation != EPOLL_CTL_DEL;  // is not documented to fail for lack of memory
  return may_fail && fails(Call::kEpollControl) ? -1 : call(fd, operation, other, event);
}

int timerfd_settime(int fd, int flags, const itimerspec* value, itimerspec* old) noexcept {
  static const auto call = REAL(timerfd_settime);
  return fails(Call::kTimerSet) ? -1 : call(fd, flags, value, old);
}

int signalfd(int fd, const sigset_t* mask, int flags) noexcept {
  static const auto call = REAL(signalfd);
  return fails(Call::kSignalDescriptor) ? -1 : call(fd, mask, flags);
}

int open(const char* path, int flags, ...) {
  static const auto call = REAL(open);
  mode_t mode = 0;
  if ((flags & (O_CREAT | O_TMPFILE)) != 0) {
    va_list rest;
    va_start(rest, flags);
    mode = va_arg(rest, mode_t);
    va_end(rest);
  }
  return fails(Call::kOpen) ? -1 : call(path, flags, mode);
}

int fsync(int fd) {
  static const auto call = REAL(fsync);
  return fails(Call::kSync) ? -1 : call(fd);
}

int rename(const char* from, const char* to) noexcept {
  static const auto call = REAL(rename);
  return fails(Call::kRename) ? -1 : call(from, to);
}

int clock_gettime(clockid_t clock, timespec* into) noexcept {
  static const auto call = REAL(clock_gettime);
  const int result = call(clock, into);
  shorelead::faults::clock_was_read();
  if (result != 0 || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) return result;
  timespec steady{};
  call(CLOCK_MONOTONIC, &steady);
  constexpr std::int64_t kSecond = 1'000'000'000;
  const std::int64_t by = shorelead::faults::wall_clock_step(steady.tv_sec * kSecond + steady.tv_nsec);
  const std::int64_t now = into->tv_sec * kSecond + into->tv_nsec + by;
  into->tv_sec = now / kSecond;
  into->tv_nsec = now % kSecond;
  return 0;
}

}  // extern "C"
