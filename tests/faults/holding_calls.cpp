// A library to be preloaded into a process: stops the process (SIGSTOP to itself) right before or behind one
// call of the C library, so that a test can act at that moment and let the process go on with SIGCONT.
// SHORELEAD_HOLD names the call, which one of its calls, and the side: "listen:1:before", "accept4:2:after".
// A call behind which the process is to stop counts only if it succeeds.
#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <string>

namespace {

class Hold {
 public:
  Hold() {
    const char* const text = std::getenv("SHORELEAD_HOLD");
    if (text == nullptr) return;
    const std::string all = text;
    const std::size_t first = all.find(':');
    const std::size_t second = all.find(':', first + 1);
    call_ = all.substr(0, first);
    left_ = std::atoi(all.c_str() + first + 1);
    after_ = all.substr(second + 1) == "after";
  }
  void before(const char* call) {
    if (!after_ && call == call_) count();
  }
  void after(const char* call, bool succeeded) {
    if (after_ && succeeded && call == call_) count();
  }

 private:
  void count() {
    if (--left_ == 0) ::raise(SIGSTOP);
  }

  std::string call_;
  int left_ = 0;
  bool after_ = false;
};

Hold& hold() {
  static Hold one;
  return one;
}

template <typename Function, typename... Arguments>
auto held(const char* name, Function, Arguments... arguments) {
  const auto real = reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
  hold().before(name);
  const auto result = real(arguments...);
  const int error = errno;
  hold().after(name, result >= 0 || error == EINPROGRESS);
  errno = error;
  return result;
}

}  // namespace

extern "C" {

int bind(int fd, const sockaddr* address, socklen_t size) noexcept {
  return held("bind", &::bind, fd, address, size);
}
int listen(int fd, int backlog) noexcept {
  const char* const shorter = std::getenv("SHORELEAD_BACKLOG");
  return held("listen", &::listen, fd, shorter != nullptr ? std::atoi(shorter) : backlog);
}
int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  return held("accept4", &::accept4, fd, address, size, flags);
}
int connect(int fd, const sockaddr* address, socklen_t size) {
  return held("connect", &::connect, fd, address, size);
}
int signalfd(int fd, const sigset_t* mask, int flags) noexcept {
  return held("signalfd", &::signalfd, fd, mask, flags);
}
int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
  return held("epoll_wait", &::epoll_wait, fd, events, most, timeout);
}
ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  return held("recv", &::recv, fd, buffer, size, flags);
}
ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  return held("sendmsg", &::sendmsg, fd, message, flags);
}

}  // extern "C"
