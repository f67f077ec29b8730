// The watch on the list, alone on a loop, against a discovery that the test scripts.
#include "node/discovery.h"

#include <gtest/gtest.h>

#include <sstream>
#include <thread>

#include "peer.h"

namespace shorelead::node {
namespace {

constexpr Millis kSoon = 30;
constexpr Millis kLong = 15000;

// A Discovery that records what it reports.
class Watched {
 public:
  explicit Watched(const Discovery::Timeouts& timeouts = {kLong, kLong, kLong})
      : discovery(loop, Poco::Net::SocketAddress("127.0.0.1", peer.port()), 5,
                  {[this](const List& list) {
                     lists.push_back(list);
                     loop.stop();
                   },
                   [this](Ending how) {
                     ending = how;
                     loop.stop();
                   }},
                  timeouts) {
    discovery.watch();
  }

  // Answers the watch with `text` and runs the loop until something is reported.
  void answer(const std::string& text) {
    Line there = peer.accept();
    once_readable(loop, there, [&] {
      EXPECT_EQ(there.request().rfind("GET /api/targets?watch=1&from=5 HTTP/1.1\r\n", 0), 0U);
      there.write(text);
    });
    loop.run();
  }

  Loop loop;
  Peer peer;
  std::vector<List> lists;
  Ending ending = Ending::kNotSent;
  Discovery discovery;
};

const std::string kWatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

TEST(Discovery, SilentWatchEndsAsSilent) {
  Watched w({kLong, kLong, kSoon});
  w.answer(kWatchHead + "1\r\n\n\r\n");
  EXPECT_EQ(w.ending, Ending::kSilent);
  EXPECT_FALSE(w.discovery.watching());
}

TEST(Discovery, CallWithoutResponseTimesOut) {
  Watched w({kLong, kSoon, kLong});
  w.loop.run();
  EXPECT_EQ(w.ending, Ending::kTimeout);
}

TEST(Discovery, RejectedCallEndsTheWatch) {
  Watched w;
  w.answer("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(w.ending, Ending::kRejected);
}

TEST(Discovery, ListsMaySpanChunks) {
  Watched w;
  w.answer(kWatchHead + "8\r\n{\"seq\":6\r\n1a\r\n,\"whole\":true,\"hosts\":[]}\n\r\n");
  ASSERT_EQ(w.lists.size(), 1U);
  EXPECT_EQ(w.lists[0].version, 6U);
  EXPECT_TRUE(w.lists[0].whole);
  EXPECT_EQ(w.discovery.version(), 6U);
}

// Skipping an invalid list would leave the node's list wrong for good.
TEST(Discovery, InvalidListEndsTheWatch) {
  for (const std::string line : {"7\r\n{\"seq\"}\r\n1\r\n\n\r\n", "9\r\n{\"seq\":6}\r\n1\r\n\n\r\n"}) {
    Watched w;
    w.answer(kWatchHead + line);
    EXPECT_EQ(w.ending, Ending::kMalformed);
    EXPECT_EQ(w.discovery.version(), 5U);
    EXPECT_TRUE(w.lists.empty());
  }
}

// A long list whose chunk's last bytes, the framing, arrive in a read of their own while it is parsed in
// slices.
TEST(Discovery, ALongListCountsAsCurrentWhenItsFramingArrivesWhileItIsParsed) {
  constexpr Millis kSilence = 500;
  constexpr std::size_t kBytesOfReads = std::size_t{5} * 16384;  // a stream reads 16,384 bytes at once
  std::string list = R"({"seq":6,"whole":true,"hosts":[{"host":"s-0","dial":"127.0.0.1:9","health":"ready"})";
  const std::string end = "]}\n";
  const std::string framing = "13f00\r\n";  // replaced by the size, of as many digits
  const std::size_t size = kBytesOfReads - kWatchHead.size() - framing.size();
  for (int n = 1; size - list.size() - end.size() > 100; ++n)
    list += R"(,{"host":"s-)" + std::to_string(n) + R"(","dial":"127.0.0.1:9","health":"ready"})";
  list += std::string(size - list.size() - end.size(), ' ') + end;
  std::ostringstream digits;
  digits << std::hex << size << "\r\n";
  ASSERT_EQ(digits.str().size(), framing.size());

  Loop loop;
  Peer peer;
  std::optional<Line> line;
  int current = 0;
  Discovery discovery(loop, Poco::Net::SocketAddress("127.0.0.1", peer.port()), 5,
                      {.changed = [](const List&) {},
                       .ended = [&](Ending) { loop.stop(); },
                       .current =
                           [&](bool, bool) {
                             ++current;
                             loop.stop();
                           }},
                      {kLong, kLong, kSilence});
  discovery.watch();
  line.emplace(peer.accept());
  once_readable(loop, *line, [&] {
    line->request();
    line->write(kWatchHead + digits.str() + list + "\r\n");
  });
  loop.run();
  EXPECT_EQ(current, 1);
}

}  // namespace
}  // namespace shorelead::node
