// Attempts and the times that bound them: the window for repeats, the due time, the end of a body, a
// cancellation; each at the same time as a connect, a write or a response.
#include <gtest/gtest.h>

#include "upstream_case.h"

namespace shorelead::node {
namespace {

// Rule "no effect twice": decided within the window of the attempt before, but the connection was established
// later.
TEST(Attempts, RepeatIsNotWrittenAfterItsWindow) {
  Peer peer;
  Backends b;
  b.send(peer, kLong, post_of(1), b.loop.now() + kSoon);
  Line there = peer.accept();
  b.hold_up(kSoon);
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent);
  EXPECT_EQ(there.rest(), "");
}

TEST(Attempts, RepeatWaitsForAConnectionNoLongerThanItsWindow) {
  FullPeer peer;
  Backends b;
  const Millis began = b.loop.now();
  b.send(peer, kLong, post_of(1), began + kSoon);
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent) << "it is no connection that did not come up in its time";
  EXPECT_LT(b.loop.now() - began, kLong / 2);
}

// A backend begins a request with its last byte.
TEST(Attempts, PartlyWrittenRepeatEndsWithItsWindow) {
  Peer peer;
  Backends b;
  const auto message = post_of(kMuch);
  const Millis began = b.loop.now();
  b.send(peer, kLong, message, began + kSoon);
  Line there = peer.accept();
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent);
  EXPECT_LT(b.loop.now() - began, kLong / 2);
  EXPECT_LT(there.rest().size(), kMuch);
}

TEST(Attempts, RepeatsBodyEndingAfterTheWindowIsNotCompleted) {
  Peer peer;
  Backends b;
  const auto message = b.by_parts();
  b.send(peer, kLong, message, b.loop.now() + kSoon);
  Line there = peer.accept();
  b.loop.after(1, [&] {
    message->flow->put("begun");
    b.hold_up(kSoon);
    message->flow->put("rest");
    message->flow->end();
  });
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent);
  EXPECT_FALSE(there.rest().ends_with("0\r\n\r\n"));
}

// Rule "one final answer": nothing is sent for a request after its due time.
TEST(Attempts, NothingIsWrittenAfterTheDueTime) {
  Peer peer;
  Backends b;
  b.send(peer, kSoon);
  Line there = peer.accept();
  b.hold_up(kSoon);
  EXPECT_EQ(b.run(), Ending::kStoppedUnsent);
  EXPECT_EQ(there.rest(), "");
}

// The time sent to a backend is what is left when the request is written.
TEST(Attempts, TimeSentToTheBackendIsWhatIsLeftAtTheWrite) {
  Peer peer;
  Backends b;
  b.send(peer, kLong);
  Line there = peer.accept();
  b.hold_up(200);
  once_readable(b.loop, there, [&] {
    const std::string text = there.request();
    const std::size_t at = text.find("X-Timeout-Ms: ");
    ASSERT_NE(at, std::string::npos);
    EXPECT_LE(std::stod(text.substr(at + 14)), kLong - 200 + 1);
    there.write(kEmptyOk);
  });
  EXPECT_EQ(b.run(), Ending::kServed);
}

// Each attempt would get a part of the body, and the one with the end would run on that part.
TEST(Attempts, TwoAttemptsDoNotShareAStreamedBody) {
  Peer peer;
  Backends b;
  const auto message = b.by_parts();
  b.send(peer, kLong, message);
  Line one = peer.accept();
  Line two(-1);
  std::function<void()> once_begun = [&] {
    if (!message->flow->has_sink()) return void(b.loop.after(1, once_begun));
    b.send(peer, kLong, message, std::numeric_limits<Millis>::infinity(), 1);
    two = peer.accept();
  };
  b.loop.after(1, once_begun);
  b.steps.push_back([&] {
    EXPECT_EQ(b.last, Ending::kStoppedUnsent);
    EXPECT_EQ(b.ended, 1);
    message->flow->put("all of it");
    message->flow->end();
    EXPECT_TRUE(one.request().ends_with("9\r\nall of it\r\n0\r\n\r\n"));
    one.write(kEmptyOk);
  });
  EXPECT_EQ(b.run(), Ending::kServed);
  EXPECT_EQ(b.ended, 0);
  EXPECT_EQ(two.rest(), "");
}

// The timer of a request with an unstreamed body, on a reused connection, outlived its attempt: it ended the
// next attempt there, or found none.
TEST(Attempts, TimerEndsWithItsAttempt) {
  Peer peer;
  Backends b;
  const auto message = b.by_parts(4);
  Line there = [&] {
    b.send(peer, kLong);
    return peer.accept();
  }();
  const auto answer = [&] {
    EXPECT_FALSE(there.request().empty());
    there.write(kEmptyOk);
  };
  b.loop.after(1, answer);
  b.steps.push_back([&] {
    message->flow->put("body");
    message->flow->end();
    b.send(peer, kSoon, message);
    answer();
  });
  b.steps.push_back([&] {
    b.send(peer, kLong);
    b.loop.after(3 * kSoon, answer);
  });
  EXPECT_EQ(b.run(), Ending::kServed);
  EXPECT_EQ(b.reports, 3);
  EXPECT_EQ(b.upstream.opened(), 1U);
}

// The same if the connection is idle by then, which crashed the process.
TEST(Attempts, TimerDoesNotFireOnAnIdleConnection) {
  Peer peer;
  Backends b;
  const auto message = b.by_parts(4);
  b.send(peer, kLong);
  Line there = peer.accept();
  const auto answer = [&] {
    EXPECT_FALSE(there.request().empty());
    there.write(kEmptyOk);
  };
  b.loop.after(1, answer);
  b.steps.push_back([&] {
    message->flow->put("body");
    message->flow->end();
    b.send(peer, kSoon, message);
    answer();
  });
  b.steps.push_back([&] { b.loop.after(3 * kSoon, [&] { b.loop.stop(); }); });
  EXPECT_EQ(b.run(), Ending::kServed);
  EXPECT_EQ(b.upstream.idle(), 1U);
}

// Response and timeout in the same turn, with more of the response than one read takes.
TEST(Attempts, LongResponseAlreadyReceivedAtTheDeadlineIsServed) {
  Peer peer;
  Backends b;
  b.send(peer, kLong);
  Line there = peer.accept();
  once_readable(b.loop, there, [&] {
    there.request();
    there.write(kEmptyOk);
  });
  b.steps.push_back([&] {
    b.send(peer, kSoon);
    there.request();
    there.write("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x'));
    b.hold_up(2 * kSoon);
  });
  EXPECT_EQ(b.run(), Ending::kServed);
  EXPECT_EQ(b.answer.size(), 60000U);
  EXPECT_EQ(b.reports, 2);
}

// Response and cancellation in the same turn: one end, and the connection is closed with the response unread.
TEST(Attempts, ResponseAndCancellationInOneTurnEndTheAttemptOnce) {
  Peer peer;
  Backends b;
  b.send(peer, kLong);
  Line there = peer.accept();
  once_readable(b.loop, there, [&] {
    there.request();
    there.write(kEmptyOk);
    b.upstream.cancel(1, 0);
    b.upstream.cancel(1, 0);
  });
  EXPECT_EQ(b.run(), Ending::kCancelled);
  EXPECT_EQ(b.reports, 1);
  EXPECT_EQ(b.upstream.connections(), 0U);
}

// The connection is established but the loop has not seen it: timed out, request over, or backend withdrawn.
TEST(Attempts, ConnectionEstablishedAfterItWasGivenUpCarriesNothing) {
  for (int n = 0; n < 3; ++n) {
    Peer peer;
    Backends b;
    b.send(peer, kLong);
    Line there = peer.accept();
    b.loop.later([&] {
      if (n == 0) b.upstream.cancel(1, 0);
      if (n == 1) b.upstream.cancel_unsent(1);
      if (n == 2) b.upstream.withdraw({0});
    });
    EXPECT_EQ(b.run(), Ending::kStoppedUnsent) << n;
    EXPECT_EQ(there.rest(), "") << n;
  }
}

// For drains a send counts from its first byte.
TEST(Attempts, BodyBeingSentContinuesAfterTheBackendsWithdrawal) {
  Peer peer;
  Backends b;
  const auto message = b.by_parts();
  b.send(peer, kLong, message);
  Line there = peer.accept();
  b.loop.after(1, [&] {
    message->flow->put("begun");
    b.upstream.withdraw({0});
    message->flow->put("rest");
    message->flow->end();
    EXPECT_TRUE(there.request().ends_with("5\r\nbegun\r\n4\r\nrest\r\n0\r\n\r\n"));
    there.write(kEmptyOk);
  });
  EXPECT_EQ(b.run(), Ending::kServed);
  EXPECT_EQ(b.upstream.connections(), 0U);
}

}  // namespace
}  // namespace shorelead::node
