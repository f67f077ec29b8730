// Client connections of a Front alone on a loop: deadlines, time-outs and eviction.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "front_case.h"

namespace shorelead::node {
namespace {

constexpr Millis kShortTimeout = 30;

// A response after the client's time-out is of no use: the time-out runs while the request lies unread, in
// the backlog or because the node gets no processor.
TEST(Front, TheClientsTimeoutRunsWhileItsRequestLiesUnread) {
  Clients c;
  const Line client = c.ask("/safe");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  c.loop.run();
  EXPECT_GT(c.left, 0);
  EXPECT_LT(c.left, 60000 - 80);
}

// The deadline of a pipelined request counts from when it was received, not from when the one before was
// answered.
TEST(Front, PipelinedRequestsHaveTheSameDeadline) {
  Clients c;
  c.after_each = [&c](RequestId request) {
    if (c.taken.size() == 2) return c.loop.stop();
    c.loop.after(50, [&c, request] { c.front.refuse(request, {}); });
  };
  const std::string one = "GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\nX-Timeout-Ms: 60000\r\n\r\n";
  Line client = Line::connect(c.front.port());
  client.write(one + one);
  c.loop.run();
  ASSERT_EQ(c.dues.size(), 2U);
  EXPECT_EQ(c.dues[0], c.dues[1]);
}

// Clients must not hold connections without a request: half a request gets an error, none gets a close.
TEST(Front, HalfARequestGets408AndASilentConnectionIsClosed) {
  Front::Timeouts timeouts;
  timeouts.request = kShortTimeout;
  timeouts.sweep = 5;
  Clients c(timeouts);
  Line half = Line::connect(c.front.port());
  half.write("POST /safe HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhal");
  Line silent = Line::connect(c.front.port());
  std::string answer;
  std::string end = "?";
  std::thread clients([&] {
    answer = half.answer();
    half.close();
    end = silent.rest();
    c.loop.stop();
  });
  c.loop.run();
  clients.join();
  EXPECT_EQ(answer.rfind("HTTP/1.1 408 ", 0), 0U) << answer;
  EXPECT_EQ(end, "");
  EXPECT_EQ(c.front.counters().silent, 1U);
  EXPECT_TRUE(c.taken.empty());
}

// Clients that send one request and stay connected must not take all descriptors: where many connections are
// idle, the first response on a connection is its last, while a connection that carried more requests stays
// open.
TEST(Front, WhereManyConnectionsAreIdleTheFirstResponseClosesANewOne) {
  Clients c;
  c.after_each = [&c](RequestId request) { c.front.refuse(request, {}); };
  std::vector<std::string> answers;
  std::thread reading([&] {
    std::vector<Line> clients;
    for (int i = 0; i < 3; ++i) {
      clients.push_back(c.ask("/safe"));
      answers.push_back(clients.back().answer());
    }
    clients[0].write("GET /safe HTTP/1.1\r\nHost: a\r\nX-Request-ID: 1\r\n\r\n");
    answers.push_back(clients[0].answer());
    c.loop.stop();
  });
  c.loop.run();
  reading.join();
  const auto last = [](const std::string& answer) {
    return answer.find("Connection: close\r\n") != std::string::npos;
  };
  ASSERT_EQ(answers.size(), 4U);
  EXPECT_FALSE(last(answers[0]));
  EXPECT_FALSE(last(answers[1]));
  EXPECT_TRUE(last(answers[2]));
  EXPECT_FALSE(last(answers[3]));
}

// Where few connections are open an idle one may stay; where many are, it is closed sooner.
TEST(Front, IdleConnectionsAreClosedSoonerWhereManyAreOpen) {
  Front::Timeouts timeouts;
  timeouts.idle_crowded = kShortTimeout;
  timeouts.sweep = 5;
  Clients c(timeouts);
  c.roomy = false;
  c.after_each = [&c](RequestId request) { c.front.refuse(request, {}); };
  Line client = c.ask("/safe");
  std::string answer;
  std::string end = "?";
  std::thread reading([&] {
    answer = client.answer();
    end = client.rest();
    c.loop.stop();
  });
  c.loop.run();
  reading.join();
  EXPECT_EQ(answer.rfind("HTTP/1.1 503 ", 0), 0U) << answer;
  EXPECT_EQ(end, "");
  EXPECT_EQ(c.front.counters().idle, 1U);
}

// No attempt may be made for a client that left while its request lay unread.
TEST(Front, ARequestWhoseClientLeftBeforeItWasReadIsDropped) {
  Clients c;
  c.ask("/safe/gone").close();
  const Line client = c.ask("/safe/here");
  c.loop.run();
  EXPECT_EQ(c.taken, std::vector<std::string>{"/safe/here"});
}

}  // namespace
}  // namespace shorelead::node
