// Responses that a backend begins and does not finish, for the tests of how their requests end.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <deque>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "node_case.h"

namespace shorelead::node {

constexpr int kBackends = 64;
constexpr int kMany = 60;
constexpr int kDiscoveryStreams = 1;  // that a node holds, whatever its requests do
inline const std::string kWait =
    "X-Timeout-Ms: 200\r\n";  // a short one: what ends early has to end by itself
// For tests that need the response to have begun in time, also on a busy machine.
inline const std::string kTimeToBegin = "X-Timeout-Ms: 2000\r\n";
inline const std::string kTimeToBeginMany = "X-Timeout-Ms: 6000\r\n";
inline const std::string kChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string kToTheClose = "HTTP/1.1 200 OK\r\n\r\n";
inline const std::string kOldToTheClose = "HTTP/1.0 200 OK\r\n\r\n";
inline const std::string kLongLength = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";

// What a backend sends of a response before it stops; `trickle`: what it then sends again and again.
struct Unfinished {
  std::string sent;
  std::string trickle;
};

inline const std::vector<Unfinished> kUnfinished = {
    {kChunked, "1\r\nx\r\n"},
    {kChunked + "11\r\nmade", "x"},
    {kChunked + "4\r\nmade\r\n", "1;a=b\r\nx\r\n"},
    {kChunked + "4\r\nmade\r\n0\r\n", "T: x\r\n"},
    {kChunked + "4\r\nmade\r\n0\r\nTrail", "x"},
    {kToTheClose, "x"},
    {kToTheClose + "made", "x"},
    {kOldToTheClose, "x"},
    {kOldToTheClose + "made", "x"},
    {kLongLength, ""},
    {kLongLength + "made", ""},
    {"HTTP/1.1 103 Early Hints\r\n\r\n" + kChunked + "4\r\nmade\r\n", "1\r\nx\r\n"},
    {"HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\nmade", "x"},
    {"HTTP/1.1 200 OK\r\nX: y", ""},
    {"HTTP/1.1 102 Processing\r\n\r\n", ""},
};

inline std::vector<std::string> requests_of_each_class(const std::string& fields) {
  return {get("/safe", fields), post("/unsafe", "x", fields),
          post("/keyed", "x", fields + "Idempotency-Key: k\r\n")};
}

// Whether the text is a whole response that says that the request failed, or no whole response at all.
inline bool shows_no_success(const std::string& text) {
  Parser parser(Parser::Kind::kResponse);
  return parser.advance(text) != Parser::State::kDone || parser.head().status >= 500;
}

// Writes the trickle of each line again and again, on a loop of its own, until it is destroyed.
class Trickles {
 public:
  void add(const Line& line, const std::string& part) { all_.emplace_back(line.fd(), part); }
  void start() {
    loop_.later([this] { next(); });
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~Trickles() {
    if (!thread_.joinable()) return;
    loop_.stop();
    thread_.join();
  }

 private:
  void next() {
    for (const auto& [fd, part] : all_) ::send(fd, part.data(), part.size(), MSG_NOSIGNAL);
    loop_.after(10, [this] { next(); });
  }
  Loop loop_;
  std::vector<std::pair<int, std::string>> all_;
  std::thread thread_;
};

// A node before many backends, which the same peer plays, so that many requests can be out at once.
struct ServedByMany {
  explicit ServedByMany(int backends) {
    for (int n = 0; n < backends; ++n) node.know("s-" + std::to_string(n), backend);
    node.start();
  }
  Peer backend;
  Node node;
};

// A request whose response the test has begun.
struct Begun {
  Line client;
  Line backend;
  Unfinished response;
};

inline std::deque<Begun> begin_each(ServedByMany& served, const std::vector<Unfinished>& responses,
                                    const std::string& wait = kWait) {
  std::deque<Begun> all;
  for (const Unfinished& response : responses) {
    for (const std::string& request : requests_of_each_class(wait)) {
      Line client = served.node.client();
      client.write(request);
      Line backend = served.backend.accept();
      EXPECT_FALSE(backend.request().empty());
      all.push_back({std::move(client), std::move(backend), response});
    }
  }
  return all;
}

// Waits for a state of the node that no message shows; fails after kHangSeconds.
inline void await(const std::function<bool()>& reached) {
  const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds(kHangSeconds);
  while (!reached()) {
    ASSERT_LT(std::chrono::steady_clock::now(), give_up) << "hangs";
    std::this_thread::yield();
  }
}

// Reads everything up to the end of the connection and returns its error; 0 if it ended in order.
inline int error_at_end(const Line& line) {
  char part[4096];
  while (true) {
    const ssize_t got = ::recv(line.fd(), part, sizeof part, 0);
    if (got <= 0) return got < 0 ? errno : 0;
  }
}

// Waits until this node has failed a request that its backend left without a response for `wait` ms.
inline void let_pass(const Node& node, Peer& peer, int wait) {
  Line client = node.client();
  client.write(post("/unsafe", "x", "X-Timeout-Ms: " + std::to_string(wait) + "\r\n"));
  Line there = peer.accept();
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 504");
}

inline void expect_all_end(std::deque<Begun>& all) {
  for (Begun& one : all) {
    const std::string got = one.client.some();
    const std::string text = status_of(got) == "HTTP/1.1 200" ? got + one.client.rest() : got;
    ASSERT_FALSE(::testing::Test::HasFailure()) << one.response.sent << one.response.trickle;
    EXPECT_TRUE(shows_no_success(text)) << one.response.sent << " gave " << text;
  }
}

}  // namespace shorelead::node
