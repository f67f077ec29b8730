// Attempts on connections to backends: how each ends, and which connections are kept.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "upstream_alone.h"

namespace shorelead::node {
namespace {

TEST(Upstream, NoResponseInTimeEndsAsTimeout) {
  Peer peer;
  UpstreamAlone b;
  b.send(peer, kSoon);
  EXPECT_EQ(b.run(), Ending::kTimeout);
  EXPECT_EQ(b.upstream.connections(), 0U);
}

TEST(Upstream, ConnectThatNeverSucceedsEndsAsConnectTimeout) {
  FullPeer peer;
  UpstreamAlone b(kSoon);
  b.send(peer, kLong);
  EXPECT_EQ(b.run(), Ending::kConnectTimeout);
}

TEST(Upstream, AttemptTimeEndingBeforeConnectEndsAsStoppedUnsent) {
  FullPeer peer;
  UpstreamAlone b;
  b.send(peer, kSoon);
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent);
}

TEST(Upstream, ConnectToASilentMachineEndsBeforeTheAttemptsTime) {
  Peer peer;
  FullPeer silent;
  UpstreamAlone b;
  b.send(peer, kLong);
  Line line = peer.accept();
  once_readable(b.loop, line, [&] {
    line.request();
    line.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  b.steps.push_back([&] { b.upstream.send(2, 0, 1, silent.dial(), b.loop.now() + kLong, b.message); });
  EXPECT_EQ(b.run(), Ending::kConnectTimeout) << "not stopped at its due time";
}

TEST(Upstream, RefusedConnectIsReportedAfterSendReturns) {
  Peer peer;
  const std::string dial = peer.dial();
  peer.close();
  UpstreamAlone b;
  b.upstream.send(1, 0, 0, dial, b.loop.now() + kLong, b.message);
  EXPECT_EQ(b.reports, 0);
  EXPECT_EQ(b.run(), Ending::kRefused);
}

TEST(Upstream, WithoutADescriptorTheAttemptEndsAsNoDescriptor) {
  Peer peer;
  UpstreamAlone b;
  b.may_open = false;
  b.send(peer, kLong);
  EXPECT_EQ(b.reports, 0);
  EXPECT_EQ(b.run(), Ending::kNoDescriptor);
}

// Rule "drains are kept": an attempt that waits for a connection does not go to a backend that now drains.
TEST(Upstream, WithdrawalStopsUnwrittenAttempts) {
  FullPeer peer;
  UpstreamAlone b;
  b.send(peer, kLong);
  b.loop.later([&b] { b.upstream.withdraw({0}); });
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent);
}

// Rule "no request is lost": nothing is sent for a request after its final response.
TEST(Upstream, AttemptOfAFinishedRequestIsNotWritten) {
  FullPeer peer;
  UpstreamAlone b;
  b.send(peer, kLong);
  b.loop.later([&b] {
    b.upstream.cancel_unsent(2);  // another request
    EXPECT_EQ(b.reports, 0);
    b.upstream.cancel_unsent(1);
  });
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent);
}

TEST(Upstream, CancelledAttemptClosesItsConnection) {
  Peer peer;
  UpstreamAlone b;
  b.send(peer, kLong);
  Line there = peer.accept();
  once_readable(b.loop, there, [&b, &there] {
    EXPECT_FALSE(there.request().empty());
    b.upstream.cancel(1, 0);
  });
  EXPECT_EQ(b.run(), Ending::kCancelled);
  EXPECT_EQ(there.rest(), "");
}

// A response that has already arrived must not count as late when the node was not scheduled for a while.
TEST(Upstream, ResponseAlreadyReceivedAtTheDeadlineIsServed) {
  Peer peer;
  UpstreamAlone b;
  b.send(peer, kLong);
  Line there = peer.accept();
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  once_readable(b.loop, there, [&] {
    there.request();
    there.write(ok);
  });
  b.steps.push_back([&] {
    ASSERT_EQ(b.last, Ending::kServed);
    b.send(peer, kSoon);  // on the same connection, so it is written at once
    there.request();
    there.write(ok);
    // Blocks the loop until after the deadline.
    const Millis until = b.loop.now() + 2 * kSoon;
    while (b.loop.now() < until) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  });
  EXPECT_EQ(b.run(), Ending::kServed);
  EXPECT_EQ(b.reports, 2);
  EXPECT_EQ(b.upstream.reused(), 1U);
}

// A silent backend may have lost its idle connections; a request written on one might run and then be reset.
TEST(Upstream, TimeoutClosesIdleConnectionsToTheBackend) {
  Peer peer;
  UpstreamAlone b;
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  b.send(peer, kLong);
  b.send(peer, kLong);
  Line one = peer.accept();
  Line two = peer.accept();
  once_readable(b.loop, two, [&] {
    one.request();
    one.write(ok);
    two.request();
    two.write(ok);
  });
  b.steps.push_back([] {});
  b.steps.push_back([&] {
    ASSERT_EQ(b.upstream.idle(), 2U);
    b.send(peer, kSoon);
  });
  EXPECT_EQ(b.run(), Ending::kTimeout);
  EXPECT_EQ(b.reports, 3);
  EXPECT_EQ(b.upstream.connections(), 0U);
}

// But a response on another connection meanwhile shows that the backend is alive.
TEST(Upstream, TimeoutKeepsConnectionsUsedSinceTheAttempt) {
  Peer peer;
  UpstreamAlone b;
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  b.send(peer, 200);
  Line silent = peer.accept();
  std::vector<Line> kept;
  once_readable(b.loop, silent, [&] {
    silent.request();
    b.send(peer, kLong);
  });
  b.loop.after(20, [&] {
    Line there = peer.accept();
    there.request();
    there.write(ok);
    kept.push_back(std::move(there));
  });
  b.steps.push_back([] {});
  EXPECT_EQ(b.run(), Ending::kTimeout);
  EXPECT_EQ(b.reports, 2);
  EXPECT_EQ(b.upstream.idle(), 1U);
}

}  // namespace
}  // namespace shorelead::node
