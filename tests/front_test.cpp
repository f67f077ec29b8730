// Clients' connections, each front alone on a loop: waits, silence, and who gives way.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "front_case.h"

namespace shorelead::node {
namespace {

constexpr Millis kSoon = 30;

// Guards against answers that the client no longer waits for: its wait runs while the request lies unread, in
// the queue of connections or before a node that gets no processor.
TEST(Front, TheClientsWaitRunsWhileItsRequestLiesUnread) {
  Clients c;
  const Line client = c.ask("/safe");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  c.loop.run();
  EXPECT_GT(c.left, 0);
  EXPECT_LT(c.left, 60000 - 80);
}

// A request that came in with the one before it waits from then on, and not twice as long.
TEST(Front, RequestsThatCameTogetherAreDueTogether) {
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

// Guards against clients that hold connections and never ask: an error for half a request, a close for none.
TEST(Front, HalfARequestAndSilenceEndInTime) {
  Front::Timeouts timeouts;
  timeouts.request = kSoon;
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

// Guards against clients that ask once and stay: where many stand unused already the first answer on a
// connection is its last, while one that has been in use goes on.
TEST(Front, WhereManyStandUnusedAFirstAnswerIsTheLast) {
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

// Where few connections are open one that has asked may stay; it goes where many are.
TEST(Front, UnusedConnectionsGoSoonerWhereManyAreOpen) {
  Front::Timeouts timeouts;
  timeouts.idle_crowded = kSoon;
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

// Guards against work for nobody: a client that left while its request lay unread is not served.
TEST(Front, AClientThatLeftBeforeItWasReadIsNotServed) {
  Clients c;
  c.ask("/safe/gone").close();
  const Line client = c.ask("/safe/here");
  c.loop.run();
  EXPECT_EQ(c.taken, std::vector<std::string>{"/safe/here"});
}

}  // namespace
}  // namespace shorelead::node
