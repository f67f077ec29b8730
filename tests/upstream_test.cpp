// Attempts on connections to backends: how each ends, and which connections are kept.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "upstream_alone.h"

namespace shorelead::node {
namespace {

TEST(Upstream, NoAnswerInTimeMayHaveRun) {
  Peer peer;
  UpstreamAlone b;
  b.send(peer, kSoon);
  EXPECT_EQ(b.run(), Ending::kTimeout);
  EXPECT_EQ(b.upstream.connections(), 0U);
}

TEST(Upstream, AConnectionThatNeverComesUpHasRunNothing) {
  FullPeer peer;
  UpstreamAlone b(kSoon);
  b.send(peer, kLong);
  EXPECT_EQ(b.run(), Ending::kConnectTimeout);
}

TEST(Upstream, StoppedBeforeTheConnectionIsUp) {
  FullPeer peer;
  UpstreamAlone b;
  b.send(peer, kSoon);
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent);
}

TEST(Upstream, ASilentMachineLeavesTimeForAnother) {
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

TEST(Upstream, RefusedIsToldAfterTheCallThatSent) {
  Peer peer;
  const std::string dial = peer.dial();
  peer.close();
  UpstreamAlone b;
  b.upstream.send(1, 0, 0, dial, b.loop.now() + kLong, b.message);
  EXPECT_EQ(b.told, 0);
  EXPECT_EQ(b.run(), Ending::kRefused);
}

TEST(Upstream, WithoutADescriptorNothingIsSent) {
  Peer peer;
  UpstreamAlone b;
  b.room = false;
  b.send(peer, kLong);
  EXPECT_EQ(b.told, 0);
  EXPECT_EQ(b.run(), Ending::kNoDescriptor);
}

// Rule "drains are kept": what waits for a connection does not go to a backend that now drains.
TEST(Upstream, WithdrawalStopsWhatWasNotWritten) {
  FullPeer peer;
  UpstreamAlone b;
  b.send(peer, kLong);
  b.loop.later([&b] { b.upstream.withdraw({0}); });
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent);
}

// Rule "no request is lost": nothing is sent for a request after its final answer.
TEST(Upstream, WhatIsOverIsNotWrittenAnyMore) {
  FullPeer peer;
  UpstreamAlone b;
  b.send(peer, kLong);
  b.loop.later([&b] {
    b.upstream.stop_unsent(2);  // another request
    EXPECT_EQ(b.told, 0);
    b.upstream.stop_unsent(1);
  });
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent);
}

TEST(Upstream, CalledOffAttemptsEndTheirConnection) {
  Peer peer;
  UpstreamAlone b;
  b.send(peer, kLong);
  Line there = peer.accept();
  once_readable(b.loop, there, [&b, &there] {
    EXPECT_FALSE(there.request().empty());
    b.upstream.call_off(1, 0);
  });
  EXPECT_EQ(b.run(), Ending::kCancelled);
  EXPECT_EQ(there.rest(), "");
}

// Guards against calling an answer late that lies there to be read, when the node got no processor for a
// while.
TEST(Upstream, AnAnswerThatHasComeIsNotLate) {
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
    // The loop is held up here until after the limit.
    const Millis until = b.loop.now() + 2 * kSoon;
    while (b.loop.now() < until) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  });
  EXPECT_EQ(b.run(), Ending::kServed);
  EXPECT_EQ(b.told, 2);
  EXPECT_EQ(b.upstream.reused(), 1U);
}

// Who was silent may have lost the connections kept to it; what went there next might run and be reset.
TEST(Upstream, SilenceDropsTheConnectionsKept) {
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
  EXPECT_EQ(b.told, 3);
  EXPECT_EQ(b.upstream.connections(), 0U);
}

// But an answer on another connection meanwhile shows that the backend is there: only that one was lost.
TEST(Upstream, ALostAnswerLeavesConnectionsUsedSince) {
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
  EXPECT_EQ(b.told, 2);
  EXPECT_EQ(b.upstream.idle(), 1U);
}

}  // namespace
}  // namespace shorelead::node
