// Lists that arrive too slowly to ever be whole, and lists that cannot be applied: the watch is reopened, as
// their changes bind nevertheless.
#include <gtest/gtest.h>

#include "node/discovery.h"
#include "peer.h"

namespace shorelead::node {
namespace {

constexpr Millis kSilence = 60;
constexpr Millis kPause = 15;
constexpr Millis kEnough = 2000;
constexpr Millis kLate = 600;  // longer than a change may take to arrive

const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kList = "{\"seq\":9,\"whole\":true,\"hosts\":[]}\n";

struct Watched {
  explicit Watched(Millis silence = kSilence)
      : timeouts{.connect = 1000, .response = 1000, .silence = silence} {}

  // Writes `piece` repeatedly while the watch is open.
  void trickle(const std::string& piece) {
    if (ending) return;
    line->write(piece);
    loop.after(kPause, [this, piece] { trickle(piece); });
  }
  void run(const std::string& first, const std::string& piece) {
    discovery.watch();
    line.emplace(peer.accept());
    once_readable(loop, *line, [this, first, piece] {
      line->request();
      line->write(first);
      trickle(piece);
    });
    loop.after(kEnough, [this] { loop.stop(); });
    loop.run();
  }

  Loop loop;
  Peer peer;
  std::optional<Line> line;
  std::optional<Ending> ending;
  int lists = 0;
  bool refuses = false;
  Discovery::Timeouts timeouts;
  Discovery discovery{loop,
                      Poco::Net::SocketAddress("127.0.0.1", peer.port()),
                      7,
                      {[this](const List&) {
                         ++lists;
                         if (refuses) throw std::runtime_error("out of something");
                       },
                       [this](Ending how) {
                         ending = how;
                         loop.stop();
                       }},
                      timeouts};
};

TEST(ListTrickle, ListThatStaysIncompleteEndsAsSilent) {
  Watched w;
  w.run(kHead + "8\r\n{\"seq\":9\r\n", "1\r\n \r\n");
  EXPECT_EQ(w.ending, Ending::kSilent);
}

// A chunk header without data is no sign of life either.
TEST(ListTrickle, ChunkHeaderWithoutDataIsNoSignOfLife) {
  Watched w;
  w.run(kHead + "1\r\n\n\r\n", "0");
  EXPECT_TRUE(w.ending.has_value());
}

// Lists follow each other, each read ending within one: none of them is slow.
TEST(ListTrickle, ConsecutiveListsKeepTheWatch) {
  Watched w;
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", kList.size());
  w.run(kHead + "8\r\n" + kList.substr(0, 8) + "\r\n",
        size.data() + kList.substr(8) + kList.substr(0, 8) + "\r\n");
  EXPECT_FALSE(w.ending.has_value());
  EXPECT_GT(w.lists, 50);
}

std::string chunk(const std::string& text) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

// What follows a change that arrived late may be as late: the change is applied, and the watch is reopened.
TEST(ListTrickle, AChangeThatArrivesLateEndsTheWatchOnceItIsWhole) {
  Watched w(kEnough);
  w.discovery.watch();
  w.line.emplace(w.peer.accept());
  once_readable(w.loop, *w.line, [&w] {
    w.line->request();
    w.line->write(kHead + chunk(kList) + chunk(kList.substr(0, 8)));
    w.loop.after(kLate, [&w] { w.line->write(chunk(kList.substr(8))); });
  });
  w.loop.after(kEnough, [&w] { w.loop.stop(); });
  w.loop.run();
  EXPECT_EQ(w.lists, 2);
  EXPECT_EQ(w.ending, Ending::kSilent);
}

// Blank lines are keep-alives as long as no list has begun.
TEST(ListTrickle, BlankLinesKeepAWatch) {
  Watched w;
  w.run(kHead, "1\r\n\n\r\n");
  EXPECT_FALSE(w.ending.has_value());
}

// A list that could not be applied must not advance the version.
TEST(ListTrickle, ListThatCannotBeAppliedIsFetchedAgain) {
  Watched w;
  w.refuses = true;
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", kList.size());
  w.run(kHead + size.data() + kList + "\r\n", "1\r\n\n\r\n");
  EXPECT_EQ(w.lists, 1);
  EXPECT_TRUE(w.ending.has_value());
  EXPECT_EQ(w.discovery.version(), 0U) << "the next watch brings the whole list";
}

}  // namespace
}  // namespace shorelead::node
