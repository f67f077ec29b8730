// Shutdown of the process and close of idle connections, with requests that arrive at that moment: each
// received request is answered before the process ends, no response is lost to a reset, and no request is
// sent on that is read after this side has closed its sending half.
#include <gtest/gtest.h>

#include <atomic>

#include "backends.h"

namespace shorelead::node {
namespace {

struct Scene {
  explicit Scene(const std::function<void(Node&)>& set = [](Node&) {}) {
    backends.join(node, 2);
    set(node);
    node.start();
  }

  // An idle client connection that has carried a request.
  Line unused() {
    Line client = node.client();
    client.write(get("/safe"));
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
    return client;
  }
  void end() { end_process(node, still); }

  Backends backends{"hang"};
  Node node;
  Standstill still{node};
};

// A request that crosses the node's half-close is dropped, without a reset and without an attempt.
void expect_crossing_request_dropped(Scene& s, Line& client) {
  EXPECT_EQ(client.rest(), "");
  client.write(get("/safe/crossing"));
  Line behind = s.node.client();
  behind.write(kReady);
  EXPECT_FALSE(behind.answer().empty());
  EXPECT_EQ(client.error(), 0) << "reset";
  EXPECT_EQ(s.backends.count("crossing"), 0U);
}

TEST(Ends, ARequestThatCrossesTheCloseOfAnIdleConnectionAtShutdownIsDropped) {
  Scene s([](Node& node) { node.timeouts.accept_on = 1500; });
  Line client = s.unused();
  ::kill(::getpid(), SIGTERM);
  expect_crossing_request_dropped(s, client);
  client.close();
  s.node.thread.join();
}

TEST(Ends, ARequestThatCrossesTheCloseOfASilentConnectionIsDropped) {
  Scene s;
  Line client = s.node.client();
  expect_crossing_request_dropped(s, client);
}

// Idle clients that do not close their side do not delay the end of the process.
TEST(Ends, ClientsThatNeverCloseDoNotDelayShutdown) {
  Scene s([](Node& node) { node.timeouts.accept_on = 0; });
  const Line client = s.unused();
  const double from = steady_ms();
  ::kill(::getpid(), SIGTERM);
  s.node.thread.join();
  EXPECT_LT(steady_ms() - from, 3000);
}

// Several pipelined requests have been received when SIGTERM arrives: each is answered, and only the last
// response has `Connection: close`.
TEST(Ends, PipelinedRequestsAreAllAnswered) {
  Scene s([](Node& node) { node.timeouts.accept_on = 5000; });
  Line client = s.node.client();
  client.write(get("/safe/hang/1") + get("/safe/2") + get("/safe/3"));
  s.backends.await("hang", 1);
  s.end();
  s.backends.serve_held();
  for (int n = 1; n <= 3; ++n) {
    const std::string answer = client.answer();
    EXPECT_EQ(status_of(answer), "HTTP/1.1 200") << n;
    EXPECT_EQ(holds(answer, "Connection: close\r\n"), n == 3) << n;
  }
  EXPECT_EQ(client.rest(), "");
}

TEST(Ends, PipelinedRequestsAreAllAnsweredWhenDescriptorsAreShort) {
  Scene s([](Node& node) { node.config.limits.sockets = 48; });  // 16 connections beside the node's own
  std::vector<Line> busy;
  for (int n = 0; n < 5; ++n) {
    busy.push_back(s.node.client());
    busy.back().write(get("/safe/hang/busy"));
  }
  s.backends.await("busy", 5);
  Line client = s.node.client();
  client.write(get("/safe/hang/1") + get("/safe/2") + get("/safe/3"));
  s.backends.await("hang/1", 1);
  std::vector<Line> silent;
  for (int n = 0; n < 4; ++n) silent.push_back(s.node.client());
  s.backends.serve_held();
  for (int n = 1; n <= 3; ++n) EXPECT_FALSE(client.answer().empty()) << n;
}

// All clients that have connected are answered, also those that waited in the backlog when the listener was
// closed.
TEST(Ends, ClientsInTheBacklogAreAnsweredAtShutdown) {
  Scene s([](Node& node) {
    node.config.limits.sockets = 48;
    node.timeouts.accept_on = 0;
  });
  std::vector<Line> clients;
  for (int n = 0; n < 30; ++n) {
    clients.push_back(s.node.client());
    clients.back().write(get("/safe/hang/" + std::to_string(n)));
  }
  s.backends.await("hang", 1);
  s.still.then([&s] { s.node.server->shut_down(); });
  s.still.begin();
  s.still.go();
  std::atomic<bool> all = false;
  std::thread serving([&] {
    while (!all) s.backends.serve_held(), std::this_thread::yield();
  });
  for (Line& client : clients) EXPECT_FALSE(client.answer().empty());
  all = true;
  serving.join();
}

// A request whose deadline is later than the three seconds before the supervisor kills the process is
// answered before that.
TEST(Ends, OpenRequestsAreAnsweredBeforeTheKill) {
  EXPECT_EQ(Server::Timeouts().deadline, 3000);
  Scene s([](Node& node) {
    node.timeouts.accept_on = 0;
    node.timeouts.deadline = 50;
  });
  Line client = s.node.client();
  client.write(post("/unsafe/hang", "x", "X-Timeout-Ms: 20000\r\n"));
  s.backends.await("hang", 1);
  const double from = steady_ms();
  ::kill(::getpid(), SIGTERM);
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 504");
  EXPECT_LT(steady_ms() - from, 3700);
  s.node.thread.join();
}

// A request that is received but not read when the process fails its open requests, as its thread got no
// processor.
TEST(Ends, AnUnreadRequestAtTheShutdownDeadlineIsRefused) {
  Scene s([](Node& node) {
    node.timeouts.accept_on = 0;
    node.timeouts.deadline = 50;
  });
  Line busy = s.node.client();
  busy.write(post("/unsafe/hang/busy", "x", "X-Timeout-Ms: 20000\r\n"));
  Line half = s.node.client();
  const std::string ask = post("/unsafe/hang/late", "x", "X-Timeout-Ms: 20000\r\n");
  half.write(ask.substr(0, 20));
  s.backends.await("busy", 1);
  s.end();
  const double from = steady_ms();
  s.still.begin();
  while (steady_ms() - from < 800) std::this_thread::yield();  // the shutdown deadline passes meanwhile
  half.write(ask.substr(20));
  s.still.go();
  EXPECT_EQ(status_of(busy.answer()), "HTTP/1.1 504");
  EXPECT_EQ(status_of(half.answer()), "HTTP/1.1 503");
  s.node.thread.join();
  EXPECT_EQ(s.backends.count("late"), 0U) << "refused, so it must not have been sent on";
}

// SIGTERM arrives before the first byte of a request, in its head or in its body; the rest is received
// afterwards, and the request is served.
TEST(Ends, ARequestInterruptedBySigtermIsServed) {
  const std::string ask = post("/unsafe", "0123456789");
  for (const std::size_t before : {std::size_t{0}, std::size_t{5}, ask.size() - 5}) {
    Scene s;
    Line client = s.node.client();
    client.write(ask.substr(0, before));
    s.end();
    client.write(ask.substr(before));
    const std::string answer = client.answer();
    EXPECT_EQ(status_of(answer), "HTTP/1.1 200") << before;
    EXPECT_TRUE(holds(answer, "Connection: close\r\n"));
    client.write(get("/safe/crossing"));  // between the answer's last byte and the close
    EXPECT_EQ(client.rest(), "");
    EXPECT_EQ(client.error(), 0);
    client.close();
    s.node.thread.join();
    EXPECT_EQ(s.backends.count("crossing"), 0U);
  }
}

// SIGTERM twice, and SIGHUP before and after it.
TEST(Ends, RepeatedSigtermAndSighupLoseNoRequest) {
  for (const std::vector<int>& signals : {std::vector<int>{SIGTERM, SIGTERM}, {SIGHUP, SIGTERM, SIGHUP}}) {
    Scene s;
    Line client = s.node.client();
    client.write(get("/safe/hang"));
    s.backends.await("hang", 1);
    s.node.read_again = [&s] { return s.node.config; };
    for (const int signal : signals) ::kill(::getpid(), signal);
    Line other = s.node.client();
    other.write(get("/safe/more"));
    EXPECT_EQ(status_of(other.answer()), "HTTP/1.1 200");
    s.backends.serve_held();
    EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 200");
    client.close();
    other.close();
    s.node.thread.join();
  }
}

TEST(Ends, ARequestAfterSigtermBeforeTheFirstListIsRefused) {
  Node node;
  node.start();
  Line client = node.client();
  ::kill(::getpid(), SIGTERM);
  client.write(get("/safe"));
  EXPECT_EQ(status_of(client.answer()), "HTTP/1.1 503");
  client.close();
  node.thread.join();
}

}  // namespace
}  // namespace shorelead::node
