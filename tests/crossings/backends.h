// Backends scripted by path behind one listening socket, recording every whole request and its time; and a
// hold on the node's thread, so that everything that happens meanwhile is found in one turn of the loop.
#pragma once

#include <poll.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <semaphore>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "node_case.h"
#include "start_without_signals.h"

namespace shorelead::node {

inline double steady_ms() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

class Backends {
 public:
  struct Seen {
    std::string path;
    double at = 0;
  };

  // Requests for paths that contain `hangs` wait until break_held(); all others are served at once.
  explicit Backends(std::string hangs)
      : hangs_(std::move(hangs)), thread_(start_without_signals([this] { run(); })) {}
  ~Backends() {
    {
      const std::lock_guard lock(mutex_);
      stopped_ = true;
    }
    door_.stop();
    thread_.join();
    for (const auto& [fd, text] : texts_) ::close(fd);
  }

  // All share one socket; to the node they are different backends.
  void join(Node& node, int hosts) const {
    for (int n = 0; n < hosts; ++n) node.know("s-" + std::to_string(n), door_);
  }
  std::string dial() const { return door_.dial(); }
  std::size_t count(const std::string& part) {
    const std::lock_guard lock(mutex_);
    return count_now(part);
  }
  std::vector<Seen> seen() {
    const std::lock_guard lock(mutex_);
    return seen_;
  }
  // Waits until this many requests whose path contains `part` have arrived.
  void await(const std::string& part, std::size_t requests) {
    std::unique_lock lock(mutex_);
    const auto all = [&] { return count_now(part) >= requests; };
    EXPECT_TRUE(come_.wait_for(lock, std::chrono::seconds(kHangSeconds), all)) << part << " hangs";
  }
  // Closes the connections of held requests without a response. The ends are in transit when this returns.
  void break_held() {
    const std::lock_guard lock(mutex_);
    for (const int fd : held_) ::shutdown(fd, SHUT_RDWR);
    held_.clear();
  }
  void serve_held() {
    const std::lock_guard lock(mutex_);
    for (const int fd : held_) say(fd);
    held_.clear();
  }
  // Sends an end of stream, or an unsolicited response, on all connections, whatever they carry.
  void end_all() {
    const std::lock_guard lock(mutex_);
    for (const auto& [fd, text] : texts_) ::shutdown(fd, SHUT_RDWR);
  }
  void answer_all() {
    const std::lock_guard lock(mutex_);
    for (const auto& [fd, text] : texts_) say(fd);
  }

 private:
  std::size_t count_now(const std::string& part) const {
    std::size_t found = 0;
    for (const Seen& one : seen_) found += holds(one.path, part) ? 1 : 0;
    return found;
  }
  static void say(int fd) { ::send(fd, kOk.data(), kOk.size(), MSG_NOSIGNAL); }

  void run() {
    while (true) {
      std::vector<pollfd> all = {{door_.fd(), POLLIN, 0}};
      {
        const std::lock_guard lock(mutex_);
        if (stopped_) return;
        for (const auto& [fd, text] : texts_) all.push_back({fd, POLLIN, 0});
      }
      ::poll(all.data(), all.size(), -1);
      const std::lock_guard lock(mutex_);
      if (stopped_) return;
      for (std::size_t n = 1; n < all.size(); ++n) {
        if (all[n].revents != 0) take(all[n].fd);
      }
      if (all[0].revents == 0) continue;
      const int fd = ::accept(door_.fd(), nullptr, nullptr);
      if (fd >= 0) texts_[fd];
    }
  }

  void take(int fd) {
    std::string& text = texts_[fd];
    std::array<char, 16384> part{};
    const ssize_t got = ::recv(fd, part.data(), part.size(), MSG_DONTWAIT);
    if (got <= 0) {
      ::close(fd);
      std::erase(held_, fd);
      texts_.erase(fd);
      return;
    }
    text.append(part.data(), static_cast<std::size_t>(got));
    Parser parser(Parser::Kind::kRequest);
    if (parser.advance(text) != Parser::State::kDone) return;
    seen_.push_back({std::string(parser.head().target.in(text)), steady_ms()});
    text.erase(0, parser.size());
    holds(seen_.back().path, hangs_) ? held_.push_back(fd) : say(fd);
    come_.notify_all();
  }

  const std::string hangs_;
  Peer door_{1024};
  std::mutex mutex_;
  std::condition_variable come_;
  bool stopped_ = false;
  std::map<int, std::string> texts_;  // input by connection
  std::vector<int> held_;
  std::vector<Seen> seen_;
  std::thread thread_;
};

// Stops the node's thread, as if it were not scheduled, until go(). Uses SIGHUP: that thread reads the
// configuration, and the read blocks.
class Standstill {
 public:
  explicit Standstill(Node& node) {
    node.read_again = [this]() -> Config {
      stands_.release();
      go_.acquire();
      if (then_) std::exchange(then_, nullptr)();
      throw std::runtime_error("none to read");
    };
  }
  void begin() {
    ::kill(::getpid(), SIGHUP);
    stands_.acquire();
    since_ = steady_ms();
  }
  void go() {
    // Waits longer than the node's last check of a client stays valid.
    while (steady_ms() - since_ < kLongerThanALook) std::this_thread::yield();
    go_.release();
  }
  // Runs first thing in the node's thread.
  void then(std::function<void()> task) { then_ = std::move(task); }

 private:
  static constexpr double kLongerThanALook = 2;
  double since_ = 0;
  std::function<void()> then_;
  std::binary_semaphore stands_{0};
  std::binary_semaphore go_{0};
};

inline const std::string kReady = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";

// Sends SIGTERM and waits two turns of the node's loop, after which it has been handled.
inline void end_process(Node& node, Standstill& still) {
  Line probe = node.client();
  Line second = node.client();
  ::kill(::getpid(), SIGTERM);
  still.begin();
  still.go();
  probe.write(kReady);
  EXPECT_FALSE(probe.answer().empty());
  second.write(kReady);
  EXPECT_EQ(status_of(second.answer()), "HTTP/1.1 503");
}

}  // namespace shorelead::node
