// Many clients that each write something and then stay as they are, and one that goes on asking beside them.
#pragma once

#include <fcntl.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "bounded_node.h"

namespace shorelead::node {

inline constexpr int kCrowd = 800;
inline constexpr int kSmallReceiveBuffer = 4096;
inline constexpr double kAnsweredWithinMs = 900;  // a wait of 400 ms, and the half second that is only late
inline const std::string kOtherWait = "X-Timeout-Ms: 400\r\n";

inline double now_ms() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

class Crowd {
 public:
  Crowd(const BoundedNode& node, int clients, int receive_buffer = 0) {
    for (int n = 0; n < clients; ++n) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (receive_buffer > 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
      sockaddr_in to{};
      to.sin_family = AF_INET;
      to.sin_port = htons(node.port());
      to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      EXPECT_EQ(::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
      ::fcntl(fd, F_SETFL, O_NONBLOCK);
      all_.emplace_back(fd);
    }
  }
  // Each client writes as much of its text as its connection takes now; returns how many have written it all.
  int write(const std::function<std::string(int)>& text) {
    if (left_.empty()) {
      for (std::size_t n = 0; n < all_.size(); ++n) left_.push_back(text(static_cast<int>(n)));
    }
    int done = 0;
    for (std::size_t n = 0; n < all_.size(); ++n) {
      const ssize_t sent = ::send(all_[n].fd(), left_[n].data(), left_[n].size(), MSG_NOSIGNAL);
      if (sent > 0) left_[n].erase(0, static_cast<std::size_t>(sent));
      done += left_[n].empty() ? 1 : 0;
    }
    return done;
  }

 private:
  std::vector<Line> all_;
  std::vector<std::string> left_;
};

// How requests fared that were sent one after another, each on a connection of its own.
struct Others {
  int sent = 0;
  int served = 0;
  int closed = 0;  // the connection ended without an answer
  int late = 0;
  double worst_ms = 0;

  void ask(const BoundedNode& node, const std::string& request) {
    Line client = node.client();
    const double at = now_ms();
    client.write(request);
    const std::string answer = client.answer();
    const double took = now_ms() - at;
    ++sent;
    served += status_of(answer) == "HTTP/1.1 200" ? 1 : 0;
    closed += answer.empty() ? 1 : 0;
    late += took > kAnsweredWithinMs ? 1 : 0;
    worst_ms = std::max(worst_ms, took);
  }
};

}  // namespace shorelead::node
