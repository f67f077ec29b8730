// Scripted peers for tests over loopback.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <utility>

#include "node/net.h"

namespace shorelead::node {

constexpr int kHangSeconds = 20;  // time limit of tests that hang

// One side of a connection.
class Line {
 public:
  explicit Line(int fd) : fd_(fd) {
    const timeval limit{kHangSeconds, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }
  Line(Line&& other) noexcept : fd_(std::exchange(other.fd_, -1)), text_(std::move(other.text_)) {}
  Line& operator=(Line&& other) noexcept {
    std::swap(fd_, other.fd_);
    std::swap(text_, other.text_);
    return *this;
  }
  ~Line() { close(); }

  static Line connect(unsigned short port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    return Line(fd);
  }

  void write(const std::string& text) {
    EXPECT_EQ(::send(fd_, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
  }

  // Reads one message, head and body; empty if the connection ended before it was complete.
  std::string read(Parser::Kind kind) {
    Parser parser(kind);
    while (parser.advance(text_) != Parser::State::kDone) {
      if (parser.advance(text_) == Parser::State::kBad || !more()) return "";
    }
    std::string message = text_.substr(0, parser.size());
    text_.erase(0, parser.size());
    return message;
  }
  std::string request() { return read(Parser::Kind::kRequest); }
  std::string answer() { return read(Parser::Kind::kResponse); }

  // Reads what has arrived, at least one byte; empty at the end of the connection.
  std::string some() {
    if (text_.empty()) more();
    return std::exchange(text_, "");
  }

  // Reads everything up to the end of the connection, however it ends.
  std::string rest() {
    while (more()) continue;
    return std::exchange(text_, "");
  }

  // Whether data or an end can be read.
  bool readable() const {
    pollfd look{fd_, POLLIN, 0};
    return !text_.empty() || ::poll(&look, 1, 0) > 0;
  }

  // The error of the socket; 0 if there is none.
  int error() const {
    int found = 0;
    socklen_t size = sizeof found;
    ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &found, &size);
    return found;
  }

  // Waits until the peer's machine has acknowledged all output, including the end.
  void await_taken() const {
    int left = 1;
    while (left > 0 && error() == 0 && ::ioctl(fd_, SIOCOUTQ, &left) == 0) continue;
  }

  int fd() const { return fd_; }
  void close_sending() { ::shutdown(fd_, SHUT_WR); }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

  // Closes with a reset, as when a process is killed.
  void reset() {
    const linger hard{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
  }

 private:
  bool more() {
    char part[4096];
    const ssize_t got = ::recv(fd_, part, sizeof part, 0);
    EXPECT_FALSE(got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) << "hangs";
    if (got <= 0) return false;
    text_.append(part, static_cast<std::size_t>(got));
    return true;
  }

  int fd_;
  std::string text_;
};

// Runs a step of the test on the loop once there is something to read for it. A step that blocked for that
// would also block the writer, which runs on the same loop.
inline void once_readable(Loop& loop, const Line& line, const Loop::Task& step) {
  loop.after(1, [&loop, &line, step] { line.readable() ? step() : once_readable(loop, line, step); });
}

inline unsigned short port_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

class Peer {
 public:
  explicit Peer(int backlog = 64) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    EXPECT_EQ(::listen(fd_, backlog), 0);
    const timeval limit{kHangSeconds, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }
  ~Peer() { close(); }

  Line accept() {
    const int fd = ::accept(fd_, nullptr, nullptr);
    EXPECT_GE(fd, 0) << "nobody connects";
    return Line(fd);
  }
  std::optional<Line> accept_until_stopped() {
    const int fd = ::accept(fd_, nullptr, nullptr);
    return fd < 0 ? std::nullopt : std::optional<Line>(fd);
  }
  void stop() { ::shutdown(fd_, SHUT_RDWR); }
  int fd() const { return fd_; }
  unsigned short port() const { return port_of(fd_); }
  std::string dial() const { return "127.0.0.1:" + std::to_string(port()); }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

 private:
  int fd_;
};

}  // namespace shorelead::node
