// A server in a thread of its own that answers each request at once by a function of its path, and records
// the paths.
#pragma once

#include <poll.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <semaphore>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "node_case.h"
#include "start_without_signals.h"

namespace shorelead::node {

inline const std::string kTurnedAway =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

class AnsweringPeer {
 public:
  using Answer = std::function<std::string(const std::string& path)>;

  // Returns once the thread is about to call poll(); it allocates nothing before a connection arrives. A test
  // may fork then, and the child of a sanitized build must not inherit a locked allocator.
  explicit AnsweringPeer(Answer answer)
      : answer_(std::move(answer)), thread_(start_without_signals([this] { run(); })) {
    waits_.acquire();
  }
  ~AnsweringPeer() {
    peer_.stop();
    thread_.join();
    for (const auto& [fd, text] : texts_) ::close(fd);
  }
  AnsweringPeer(const AnsweringPeer&) = delete;
  AnsweringPeer& operator=(const AnsweringPeer&) = delete;

  std::string dial() const { return peer_.dial(); }
  // The number of requests so far for paths with this prefix.
  std::size_t count(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        paths_.begin(), paths_.end(), [&](const std::string& path) { return path.rfind(prefix, 0) == 0; }));
  }

 private:
  void run() {
    for (bool first = true;; first = false) {
      std::vector<pollfd> all = {{peer_.fd(), POLLIN, 0}};
      for (const auto& [fd, text] : texts_) all.push_back({fd, POLLIN, 0});
      if (first) waits_.release();
      ::poll(all.data(), all.size(), -1);
      for (std::size_t n = 1; n < all.size(); ++n) {
        if (all[n].revents != 0) take(all[n].fd);
      }
      if (all[0].revents == 0) continue;
      const int fd = ::accept(peer_.fd(), nullptr, nullptr);
      if (fd < 0) return;
      texts_[fd];
    }
  }

  void take(int fd) {
    std::string& text = texts_[fd];
    std::array<char, 16384> part{};
    const ssize_t got = ::recv(fd, part.data(), part.size(), MSG_DONTWAIT);
    if (got <= 0) {
      ::close(fd);
      texts_.erase(fd);
      return;
    }
    text.append(part.data(), static_cast<std::size_t>(got));
    Parser parser(Parser::Kind::kRequest);
    if (parser.advance(text) != Parser::State::kDone) return;
    const std::string path(parser.head().target.in(text));
    text.erase(0, parser.size());
    {
      const std::lock_guard lock(mutex_);
      paths_.push_back(path);
    }
    const std::string answer = answer_(path);
    ::send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
  }

  const Answer answer_;
  Peer peer_;
  std::map<int, std::string> texts_;  // input of each connection, by descriptor
  std::mutex mutex_;
  std::vector<std::string> paths_;
  std::binary_semaphore waits_{0};
  std::thread thread_;
};

// A backend that serves every request. Its health check fails while `drains` is set.
inline AnsweringPeer::Answer backend_that(const std::atomic<bool>& drains) {
  return [&drains](const std::string& path) {
    const bool probed = path.rfind("/-/", 0) == 0;
    return probed && drains ? "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" : kOk;
  };
}

}  // namespace shorelead::node
