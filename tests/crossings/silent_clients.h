// Clients that connect, send nothing, and connect again as soon as they are closed: always more than the node
// has descriptors for.
#pragma once

#include <poll.h>

#include <atomic>
#include <thread>
#include <vector>

#include "peer.h"

namespace shorelead::node {

class SilentClients {
 public:
  explicit SilentClients(unsigned short port) : port_(port), thread_([this] { run(); }) {}
  ~SilentClients() {
    stop_ = true;
    thread_.join();
  }
  SilentClients(const SilentClients&) = delete;
  SilentClients& operator=(const SilentClients&) = delete;

  // Waits until so many were closed that the node must have been out of descriptors.
  void wait_for_evictions() {
    while (closed_ < kEvicted) closed_.wait(closed_);
  }

 private:
  static constexpr int kClients = 120;
  static constexpr int kEvicted = 60;
  static constexpr int kPollMillis = 50;  // between checks for the end of the test

  int connect() const {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port_);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    return fd;
  }

  void run() {
    std::vector<pollfd> all;
    for (int n = 0; n < kClients; ++n) all.push_back({connect(), POLLIN, 0});
    while (!stop_) {
      ::poll(all.data(), all.size(), kPollMillis);
      for (pollfd& one : all) {
        if (one.revents == 0) continue;
        ::close(one.fd);
        one.fd = connect();
        ++closed_;
        closed_.notify_all();
      }
    }
    for (const pollfd& one : all) ::close(one.fd);
  }

  const unsigned short port_;
  std::atomic<bool> stop_ = false;
  std::atomic<int> closed_ = 0;
  std::thread thread_;
};

}  // namespace shorelead::node
