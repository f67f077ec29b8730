// A node as a process of its own, with two backends by the list of an open watch. The test scripts discovery,
// which can go away and return.
#pragma once

#include <optional>
#include <string>

#include "crossings/answering_peer.h"
#include "crossings/backends.h"
#include "crossings/node_process.h"

namespace shorelead::node {

class ListedNode {
 public:
  static constexpr double kMaxAge = 6000;     // after which a change binds that did not arrive
  static constexpr double kGrace = 250 + 50;  // of the settings below, plus delays of the sockets
  static constexpr double kKeepAlive = 2000;  // interval of discovery's empty lines

  // `on_reload` changes the configuration at reload().
  explicit ListedNode(
      bool pushed, const NodeProcess::ConfigChange& on_reload = [](Config&) {})
      : pushed_(pushed) {
    discovery_.start_listening();
    node_.emplace(
        256,
        [text = configuration()](Config& config) {
          config = parse_config(text, {});
          config.listen = Poco::Net::SocketAddress("127.0.0.1", 0);
        },
        on_reload);
    client_.emplace(node_->client());
    accept_call();
    watch_->write(first_line(list(8)));
    while (!served()) continue;
  }

  Line client() const { return node_->client(); }
  Line& watch() { return *watch_; }
  // Waits for the next call; connections without a request are checks.
  void accept_call() {
    do watch_.emplace(discovery_.accept());
    while (watch_->request().empty());
  }
  void keep_alive() {
    watch_->write("1\r\n\n\r\n");
    watch_->await_taken();
    last_sign_ = steady_ms();
  }
  // Returns once the node's loop has handled all that had reached it.
  void await_turn() {
    client_->write(kReady);
    EXPECT_FALSE(client_->answer().empty());
  }
  void reload() const { node_->reload(); }
  void hold() const { node_->hold(); }
  void resume() const { node_->resume(); }
  void discovery_goes_away() { discovery_.stop_listening(); }
  void discovery_returns() { discovery_.start_listening(); }
  double last_sign() const { return last_sign_; }
  std::string list(int version) const {
    return R"({"seq":)" + std::to_string(version) + R"(,"whole":true,"hosts":[)" + entry("s-1", leaves_) +
           "," + entry("s-2", stays_) + "]}\n";
  }

  bool served() {
    client_->write(get("/safe", "X-Timeout-Ms: 1000\r\n"));
    return status_of(client_->answer()) == "HTTP/1.1 200";
  }
  // The share of requests served until then.
  double served_until(double end) {
    int asked = 0;
    int served_count = 0;
    while (steady_ms() < end) {
      ++asked;
      served_count += served() ? 1 : 0;
      const pollfd nobody{-1, 0, 0};
      ::poll(const_cast<pollfd*>(&nobody), 1, kBetweenRequests);
    }
    return asked > 0 ? static_cast<double>(served_count) / asked : 1;
  }
  std::size_t sent() { return leaves_.count("/safe") + stays_.count("/safe"); }

 private:
  static constexpr int kBetweenRequests = 5;  // ms

  static std::string entry(const std::string& host, const AnsweringPeer& backend) {
    return R"({"host":")" + host + R"(","dial":")" + backend.dial() + R"(","health":"ready"})";
  }
  std::string configuration() const {
    return R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:)" +
           std::to_string(discovery_.port()) + R"(","seed":"1f","limits":{"sockets":256},"known":)" +
           list(1) + R"(,"settings":{"Instances":1,"Me":0,"RegistryMode":")" +
           (pushed_ ? "automatic" : "subscribe") +
           R"(","Services":[{"Name":"safe","Aim":400,"GiveUp":1000,"Effect":"pure"}],)"
           R"("Allowed":{"Probing":true,"Cancel":true,"MostTries":3,"ConnIdle":60000,"ConnectTimeout":200},)"
           R"("Costs":{"Probe":0.002},)"
           R"("Invariants":{"ColdShare":0.3,"WarmUp":9000,"FallMultiple":3,"Fall":1000,"AskEvery":10000,)"
           R"("StopSendingWithin":250}}})";
  }

  const bool pushed_;
  const std::atomic<bool> fails_checks_{false};
  AnsweringPeer leaves_{backend_that(fails_checks_)};
  AnsweringPeer stays_{backend_that(fails_checks_)};
  DownAddress discovery_;  // holds its address while nobody listens there
  std::optional<NodeProcess> node_;
  std::optional<Line> client_;
  std::optional<Line> watch_;
  double last_sign_ = 0;
};

}  // namespace shorelead::node
