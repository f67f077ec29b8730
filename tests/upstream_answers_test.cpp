// Attempts and probes by what arrives on their connections, and by how long these were idle.
#include <gtest/gtest.h>

#include <thread>

#include "upstream_alone.h"

namespace shorelead::node {
namespace {

TEST(Upstream, ConnectionsIdleForAnUnusableTimeAreNotReused) {
  Peer peer;
  UpstreamAlone b;
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  std::vector<Line> lines;
  int broke = 0;
  const auto wait = [] { std::this_thread::sleep_for(std::chrono::milliseconds(30)); };
  // Each connection answers its first request, is idle for 30 ms and is reset by the next.
  std::function<void()> next = [&] {
    if (broke == 6) return b.loop.stop();
    b.steps.push_back([&] {
      wait();
      const auto opened = b.upstream.opened();
      b.send(peer, kLong);
      if (b.upstream.opened() != opened) return b.loop.stop();  // it was not reused
      ++broke;
      lines.back().request();
      lines.back().reset();
      b.steps.push_back(next);
    });
    b.send(peer, kLong);
    lines.push_back(peer.accept());
    once_readable(b.loop, lines.back(), [&] {
      lines.back().request();
      lines.back().write(ok);
    });
  };
  b.loop.later(next);
  b.run();
  EXPECT_GE(broke, 2);
  EXPECT_LT(broke, 6);
}

TEST(Upstream, ProbesReportTheLoadFromBodyOrHeader) {
  for (const std::string answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\ninflight=7,queue=2,util=.5",
        "HTTP/1.1 200 OK\r\nX-Server-Load: inflight=7, queue=2,util=0.5\r\nContent-Length: 0\r\n\r\n"}) {
    Peer peer;
    UpstreamAlone b;
    b.upstream.probe(0, peer.dial());
    Line there = peer.accept();
    once_readable(b.loop, there, [&] {
      EXPECT_EQ(there.request().rfind("GET /-/load HTTP/1.1\r\n", 0), 0U);
      there.write(answer);
    });
    ASSERT_EQ(b.run(), Ending::kServed);
    ASSERT_TRUE(b.load);
    EXPECT_EQ(b.load->in_hand, 7);
    EXPECT_EQ(b.load->waiting, 2);
    EXPECT_EQ(b.load->busy, 0.5);
    EXPECT_EQ(b.load->rate, -1);
  }
}

// More interim responses than a stack would hold, before the final one; a switch of protocols is malformed.
TEST(Upstream, ManyInterimResponsesAreSkipped) {
  for (const auto& [last, ending] :
       {std::pair{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Ending::kServed},
        std::pair{"HTTP/1.1 101 Switching Protocols\r\n\r\n", Ending::kMalformed}}) {
    Peer peer;
    UpstreamAlone b;
    b.send(peer, kLong);
    Line there = peer.accept();
    std::string text;
    for (int i = 0; i < 5000; ++i) text += "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n";
    once_readable(b.loop, there, [&, last = last] {
      there.request();
      there.write(text + last);
    });
    EXPECT_EQ(b.run(), ending);
  }
}

// A request written before its backend was withdrawn completes, then its connection is closed: the number of
// a gone backend may be reused for another.
TEST(Upstream, ConnectionToAWithdrawnBackendIsNotKept) {
  Peer peer;
  UpstreamAlone b;
  b.send(peer, kLong);
  Line there = peer.accept();
  once_readable(b.loop, there, [&] {
    there.request();
    b.upstream.withdraw({0});
    there.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  EXPECT_EQ(b.run(), Ending::kServed);
  EXPECT_EQ(b.upstream.connections(), 0U);
}

}  // namespace
}  // namespace shorelead::node
