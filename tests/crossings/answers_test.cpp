// Responses that are incomplete, early, endless or malformed: how the attempt ends, and that it does end.
#include <gtest/gtest.h>

#include "upstream_case.h"

namespace shorelead::node {
namespace {

// Writes `part` once a millisecond.
struct Trickle {
  Trickle(Loop& loop, Line& there, std::string part) : loop(loop), there(there), part(std::move(part)) {
    next();
  }
  void next() {
    there.write(part);
    loop.after(1, [this] { next(); });
  }
  Loop& loop;
  Line& there;
  const std::string part;
};

// Responses that never end: the attempt ends by its deadline, or when the response exceeds a limit.
TEST(Answers, AnEndlessResponseEndsByTheAttemptsDeadline) {
  struct Case {
    std::string first;
    std::string part;
    Ending ending;
  };
  const Case cases[] = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", "x", Ending::kTimeout},
      {"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", Ending::kTimeout},
      {"HTTP/1.1 500 No\r\n\r\n", "x", Ending::kTimeout},
      {"HTTP/1.1 200 OK\r\nX: ", "y", Ending::kTimeout},
      {"HTTP/1.1 200 OK\r\n", "X: " + std::string(1000, 'y') + "\r\n", Ending::kMalformed},
      {"", "HTTP/1.1 102 Processing\r\n\r\n", Ending::kTimeout},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", Ending::kTimeout},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(300, 'x'), "x",
       Ending::kMalformed},
  };
  for (const Case& one : cases) {
    Peer peer;
    Backends b;
    // A response that is streamed ends the run; its body is not read.
    b.on_flow = [&b](net::Flow&) { b.loop.later([&b] { b.loop.stop(); }); };
    b.send(peer, one.ending == Ending::kTimeout ? 5 * kSoon : kLong);
    Line there = peer.accept();
    std::unique_ptr<Trickle> trickle;
    once_readable(b.loop, there, [&] {
      there.request();
      there.write(one.first);
      trickle = std::make_unique<Trickle>(b.loop, there, one.part);
    });
    const Ending ending = b.run();
    // A 200 of unknown length is streamed after most of the attempt's time: it no longer ends by the
    // deadline.
    if (b.flow) continue;
    EXPECT_EQ(ending, one.ending) << one.first << one.part;
  }
}

TEST(Answers, AnIncompleteResponseIsNeverServed) {
  struct Case {
    std::string text;
    bool closes;
    Ending ending;
  };
  const Case cases[] = {
      {"HTTP/1.1 20", false, Ending::kTimeout},
      {"HTTP/1.1 20", true, Ending::kBroken},
      {"HTTP/1.1 200 OK\r\nContent-Le", true, Ending::kBroken},
      {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod", true, Ending::kBroken},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", true, Ending::kBroken},
      {"", true, Ending::kBroken},
      {"garbage\r\n", false, Ending::kMalformed},
      {std::string(3, '\0'), false, Ending::kMalformed}};
  for (const Case& one : cases) {
    Peer peer;
    Backends b;
    b.send(peer, one.ending == Ending::kTimeout ? kSoon : kLong);
    Line there = peer.accept();
    once_readable(b.loop, there, [&] {
      there.request();
      there.write(one.text);
      if (one.closes) there.close_sending();
    });
    EXPECT_EQ(b.run(), one.ending) << one.text;
    EXPECT_EQ(b.upstream.connections(), 0U);
    EXPECT_EQ(there.rest(), "");
  }
}

// A response that precedes the end of its request counts, but its connection is not reused, as the rest of
// the request was not written.
TEST(Answers, AResponseBeforeTheRequestsEndCountsAndEndsItsConnection) {
  const std::pair<std::string, Ending> cases[] = {
      {"200 OK\r\n", Ending::kServed},
      {"500 No\r\n", Ending::kErred},
      {"503 Full\r\n", Ending::kErred},
      {"503 Full\r\nX-Not-Processed: 1\r\n", Ending::kRejected},
  };
  for (const auto& [start, ending] : cases) {
    Peer peer;
    Backends b;
    b.send(peer, kLong, post_of(kMuch));
    Line there = peer.accept();
    once_readable(b.loop, there, [&, start = start] {
      EXPECT_FALSE(there.some().empty());
      there.write("HTTP/1.1 " + start + "Content-Length: 2\r\n\r\nok");
    });
    EXPECT_EQ(b.run(), ending) << start;
    EXPECT_EQ(b.upstream.connections(), 0U) << start;
  }
}

// A second response, or its first byte, right after the first one.
TEST(Answers, BytesAfterAResponseEndItsConnection) {
  for (const std::string& behind : {std::string("H"), kEmptyOk}) {
    Peer peer;
    Backends b;
    b.send(peer, kLong);
    Line there = peer.accept();
    once_readable(b.loop, there, [&] {
      there.request();
      there.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody" + behind);
    });
    EXPECT_EQ(b.run(), Ending::kServed);
    EXPECT_EQ(b.answer, "body");
    EXPECT_EQ(b.upstream.connections(), 0U);
  }
}

// Of a response of unknown length that its client does not read, no more is buffered than a flow may hold.
TEST(Answers, AnEndlessUnreadResponseIsBufferedWithinBounds) {
  Peer peer;
  Backends b;
  std::size_t most = 0;
  b.on_flow = [&](net::Flow& flow) {
    flow.set_sink({[&] { most = std::max<std::size_t>(most, flow.passed()); }, [] {}});
    b.loop.after(5 * kSoon, [&] { b.loop.stop(); });
  };
  b.send(peer, kLong);
  Line there = peer.accept();
  once_readable(b.loop, there, [&] {
    there.request();
    there.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(1U << 20, 'x'));
  });
  b.run();
  EXPECT_EQ(b.last, Ending::kServed);
  EXPECT_LE(most, net::FlowBudget::kMaxPart + 2 * 16384);
}

}  // namespace
}  // namespace shorelead::node
