// Runs a node in a child process, so that a test can limit its file descriptors.
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
  using ConfigChange = std::function<void(Config&)>;

  // `configure` sets the node's configuration, `on_reload` changes it at SIGHUP; `descriptors` is the
  // process's RLIMIT_NOFILE. The child closes all descriptors of the test.
  NodeProcess(
      int descriptors, const ConfigChange& configure, const ConfigChange& on_reload = [](Config&) {}) {
    int ports[2];
    EXPECT_EQ(::pipe(ports), 0);
    child_ = ::fork();
    if (child_ == 0) serve(descriptors, configure, on_reload, ports[1]);
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
  // Changes the RLIMIT_NOFILE of the running node.
  void set_descriptor_limit(int descriptors) const {
    const rlimit limit{static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors)};
    EXPECT_EQ(::prlimit(child_, RLIMIT_NOFILE, &limit, nullptr), 0);
  }
  void reload() const { ::kill(child_, SIGHUP); }
  // Holds the process up until resume().
  void hold() const { ::kill(child_, SIGSTOP); }
  void resume() const { ::kill(child_, SIGCONT); }

 private:
  [[noreturn]] static void serve(int descriptors, const ConfigChange& configure,
                                 const ConfigChange& on_reload, int port_pipe) {
    ::dup2(port_pipe, STDERR_FILENO + 1);
    ::close_range(STDERR_FILENO + 2, ~0U, 0);
    const rlimit limit{static_cast<rlim_t>(descriptors), static_cast<rlim_t>(descriptors)};
    if (::setrlimit(RLIMIT_NOFILE, &limit) != 0) ::_exit(1);
    Node node;
    configure(node.config);
    Loop loop;
    Server server(loop, node.config, node.timeouts);
    loop.on_signals([&](int) {
      server.reload([&] {
        Config fresh = node.config;
        on_reload(fresh);
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

// A bound address that refuses connections until it starts listening.
class DownAddress {
 public:
  DownAddress() { bind(0); }
  ~DownAddress() { ::close(fd_); }
  DownAddress(const DownAddress&) = delete;
  DownAddress& operator=(const DownAddress&) = delete;
  unsigned short port() const { return port_of(fd_); }
  void start_listening() { EXPECT_EQ(::listen(fd_, 8), 0); }
  // Connections that were accepted stay open.
  void stop_listening() {
    const unsigned short port_before = port();
    ::close(fd_);
    bind(port_before);
  }
  Line accept() {
    const int fd = ::accept(fd_, nullptr, nullptr);
    EXPECT_GE(fd, 0) << "no connection arrives";
    return Line(fd);
  }

 private:
  // To any port if it is 0.
  void bind(unsigned short port) {
    fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    const timeval limit{kHangSeconds, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }

  int fd_ = -1;
};

}  // namespace shorelead::node
