// A node in a process of its own, whose descriptors are its alone.
#pragma once

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <functional>
#include <string>
#include <utility>

#include "node_case.h"

namespace shorelead::node {

class NodeProcess {
 public:
  using Told = std::function<void(Config&)>;

  // `set` says what the node is told, `again` what changes in that with SIGHUP; the system allows it so many
  // descriptors. Nothing of the test's stays open in it.
  NodeProcess(
      int descriptors, const Told& set, const Told& again = [](Config&) {}) {
    int ports[2];
    EXPECT_EQ(::pipe(ports), 0);
    child_ = ::fork();
    if (child_ == 0) serve(descriptors, set, again, ports[1]);
    ::close(ports[1]);
    EXPECT_EQ(::read(ports[0], &port_, sizeof port_), static_cast<ssize_t>(sizeof port_));
    ::close(ports[0]);
  }
  ~NodeProcess() {
    ::kill(child_, SIGKILL);
    ::waitpid(child_, nullptr, 0);
  }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  Line client() const { return Line::connect(port_); }
  unsigned short port() const { return port_; }
  // The system allows it so many from now on.
  void allow(int descriptors) const {
    const rlimit limit{static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors)};
    EXPECT_EQ(::prlimit(child_, RLIMIT_NOFILE, &limit, nullptr), 0);
  }
  void reload() const { ::kill(child_, SIGHUP); }

 private:
  [[noreturn]] static void serve(int descriptors, const Told& set, const Told& again, int told) {
    ::dup2(told, STDERR_FILENO + 1);
    ::close_range(STDERR_FILENO + 2, ~0U, 0);
    const rlimit limit{static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors)};
    if (::setrlimit(RLIMIT_NOFILE, &limit) != 0) ::_exit(1);
    Node node;
    set(node.config);
    Loop loop;
    Server server(loop, node.config, node.timeouts);
    loop.on_signals([&](int) {
      server.reload([&] {
        Config fresh = node.config;
        again(fresh);
        return fresh;
      });
    });
    server.open();
    const unsigned short port = server.port();
    if (::write(STDERR_FILENO + 1, &port, sizeof port) != sizeof port) ::_exit(1);
    ::close(STDERR_FILENO + 1);
    loop.run();
    ::_exit(0);
  }

  pid_t child_ = -1;
  unsigned short port_ = 0;
};

// An address that turns connections down until it is up.
class DownAddress {
 public:
  DownAddress() : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    const timeval limit{kHangSeconds, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }
  ~DownAddress() { ::close(fd_); }
  DownAddress(const DownAddress&) = delete;
  DownAddress& operator=(const DownAddress&) = delete;
  unsigned short port() const { return port_of(fd_); }
  void rise() { EXPECT_EQ(::listen(fd_, 8), 0); }
  Line accept() {
    const int fd = ::accept(fd_, nullptr, nullptr);
    EXPECT_GE(fd, 0) << "nobody connects";
    return Line(fd);
  }

 private:
  int fd_;
};

}  // namespace shorelead::node
