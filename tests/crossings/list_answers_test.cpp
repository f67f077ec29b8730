// How a watch on discovery fails: where in its response the connection falls silent, is reset or ends, and in
// which pieces the response arrives. The peer is scripted step by step; the timeouts are set so that only the
// one under test can expire.
#include <gtest/gtest.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "node/discovery.h"
#include "node_case.h"
#include "peer.h"

namespace shorelead::node {
namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kWhole =
    R"({"seq":6,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.9:81","health":"ready"}]})";
const std::string kChange = "{\"seq\":7,\"whole\":false,\"hosts\":[]}\n";
constexpr Millis kLong = 20000;
constexpr Millis kSoon = 30;

std::string chunk(const std::string& text) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

enum class Then { kSilence, kReset, kEnd };

class Answers {
 public:
  explicit Answers(const Discovery::Timeouts& timeouts = {kLong, kLong, kLong})
      : discovery(loop, Poco::Net::SocketAddress("127.0.0.1", peer.port()), 5,
                  {[this](const List& list) { lists.push_back(list); },
                   [this](Ending how) {
                     endings.push_back(how);
                     loop.stop();
                   }},
                  timeouts) {}

  // Writes the pieces one after another, each once the node has read the one before.
  void play(const std::vector<std::string>& pieces, Then then) {
    discovery.watch();
    line = peer.accept();
    once_readable(loop, *line, [this, pieces, then] {
      line->request();
      step(pieces, 0, then);
    });
    loop.run();
  }

  Loop loop;
  Peer peer;
  std::optional<Line> line;
  std::vector<List> lists;
  std::vector<Ending> endings;
  Discovery discovery;

 private:
  void step(const std::vector<std::string>& pieces, std::size_t at, Then then) {
    if (!endings.empty()) return;
    if (at == pieces.size()) {
      if (then == Then::kReset) line->reset();
      if (then == Then::kEnd) line->close();
      return;
    }
    line->write(pieces[at]);
    loop.after(1, [this, pieces, at, then] { step(pieces, at + 1, then); });
  }
};

struct Case {
  const char* what;
  std::vector<std::string> pieces;
  Then then;
  Ending ending;
  std::size_t lists;
  std::uint64_t version;
};

TEST(ListAnswers, CutResponseEndsTheWatchOnceAndWholeListsApply) {
  const std::string whole = chunk(kWhole + "\n");
  const std::string half = whole.substr(0, whole.size() / 2);
  const Case cases[] = {
      {"no byte", {}, Then::kSilence, Ending::kTimeout, 0, 5},
      {"no byte", {}, Then::kReset, Ending::kBroken, 0, 5},
      {"no byte", {}, Then::kEnd, Ending::kPeerClosed, 0, 5},
      {"half a head", {kHead.substr(0, 20)}, Then::kSilence, Ending::kTimeout, 0, 5},
      {"half a head", {kHead.substr(0, 20)}, Then::kReset, Ending::kBroken, 0, 5},
      {"a head", {kHead}, Then::kSilence, Ending::kSilent, 0, 5},
      {"a head", {kHead}, Then::kEnd, Ending::kPeerClosed, 0, 5},
      {"half a chunk", {kHead, half}, Then::kSilence, Ending::kSilent, 0, 5},
      {"half a chunk", {kHead, half}, Then::kReset, Ending::kBroken, 0, 5},
      {"half a list", {kHead, chunk(kWhole.substr(0, 40))}, Then::kSilence, Ending::kSilent, 0, 5},
      {"half a list and a sign of life",
       {kHead, chunk("{\n\"seq\":6,\n"), chunk("\n")},
       Then::kSilence,
       Ending::kMalformed,
       0,
       5},
      {"half a line and a sign of life",
       {kHead, chunk(kWhole.substr(0, 31)), chunk("\n"), chunk("\n")},
       Then::kSilence,
       Ending::kMalformed,
       0,
       5},
      {"a list", {kHead, whole}, Then::kSilence, Ending::kSilent, 1, 6},
      {"a list", {kHead, whole}, Then::kReset, Ending::kBroken, 1, 6},
      {"a list and half a change",
       {kHead, whole, chunk(kChange.substr(0, 9))},
       Then::kReset,
       Ending::kBroken,
       1,
       6},
      {"two changes at once", {kHead + whole + chunk(kChange)}, Then::kSilence, Ending::kSilent, 2, 7},
      {"an end instead of news", {kHead, "0\r\n\r\n"}, Then::kSilence, Ending::kPeerClosed, 0, 5},
      {"news and an end", {kHead + whole + "0\r\n\r\n"}, Then::kSilence, Ending::kPeerClosed, 1, 6},
      {"no line end, and an end",
       {kHead + chunk(kWhole) + "0\r\n\r\n"},
       Then::kSilence,
       Ending::kPeerClosed,
       1,
       6},
      {"stated length, no line end",
       {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kWhole.size()) + "\r\n\r\n" + kWhole},
       Then::kSilence,
       Ending::kPeerClosed,
       1,
       6},
      {"half a list, and an end",
       {kHead + chunk(kWhole.substr(0, 40)) + "0\r\n\r\n"},
       Then::kSilence,
       Ending::kMalformed,
       0,
       5},
      {"turned away",
       {"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"},
       Then::kSilence,
       Ending::kRejected,
       0,
       5},
      {"turned away and reset",
       {"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n"},
       Then::kReset,
       Ending::kRejected,
       0,
       5},
  };
  for (const Case& one : cases) {
    Answers a(one.ending == Ending::kTimeout  ? Discovery::Timeouts{kLong, kSoon, kLong}
              : one.ending == Ending::kSilent ? Discovery::Timeouts{kLong, kLong, kSoon}
                                              : Discovery::Timeouts{kLong, kLong, kLong});
    a.play(one.pieces, one.then);
    EXPECT_EQ(a.endings, std::vector<Ending>{one.ending}) << one.what;
    EXPECT_EQ(a.lists.size(), one.lists) << one.what;
    EXPECT_EQ(a.discovery.version(), one.version) << one.what;
    EXPECT_EQ(a.discovery.has_list(), one.lists > 0) << one.what;
    EXPECT_FALSE(a.discovery.watching()) << one.what;
  }
}

// A head that arrives slowly must not keep the call open indefinitely.
TEST(ListAnswers, SlowHeadDoesNotKeepTheCallOpen) {
  std::vector<std::string> bytes;
  for (int n = 0; n < 2000; ++n) bytes.emplace_back(n == 0 ? "HTTP/1.1 200 OK\r\nX: " : "x");
  Answers a({kLong, kSoon, kLong});
  a.play(bytes, Then::kSilence);
  EXPECT_EQ(a.endings, std::vector<Ending>{Ending::kTimeout});
}

TEST(ListAnswers, IndentedListSplitAtEveryByteIsApplied) {
  const std::string list =
      "{\n  \"seq\": 6,\n  \"whole\": true,\n  \"hosts\": [\n    {\n      \"host\": \"s-1\",\n"
      "      \"dial\": \"127.0.0.9:81\",\n      \"health\": \"ready\"\n    }\n  ]\n}\n";
  const std::string answer = kHead + chunk(list) +
                             chunk("{\n  \"seq\": 7,\n  \"whole\": false,\n  \"hosts\": []\n}\n") +
                             chunk("\n") + "0\r\n\r\n";
  std::vector<std::string> bytes;
  for (const char c : answer) bytes.emplace_back(1, c);
  Answers a;
  a.play(bytes, Then::kSilence);
  ASSERT_EQ(a.lists.size(), 2U);
  EXPECT_EQ(a.lists[0].backends.size(), 1U);
  EXPECT_EQ(a.discovery.version(), 7U);
  EXPECT_EQ(a.endings, std::vector<Ending>{Ending::kPeerClosed});
}

// A list parsed in slices must not be dropped, call after call, because its response has ended.
TEST(ListAnswers, LongListIsAppliedAfterItsResponseEnded) {
  std::string list = R"({"seq":6,"whole":true,"hosts":[)";
  for (int n = 0; n < 3000; ++n) {
    if (n > 0) list += ',';
    list += R"({"host":"s-)" + std::to_string(n) + R"(","dial":"127.0.0.9:81","health":"ready"})";
  }
  list += "]}\n";
  Answers a;
  a.play({kHead + chunk(list) + "0\r\n\r\n"}, Then::kSilence);
  ASSERT_EQ(a.lists.size(), 1U);
  EXPECT_EQ(a.lists[0].backends.size(), 3000U);
}

TEST(ListAnswers, ClosedPortEndsAsRefused) {
  Answers a;
  a.peer.close();
  a.discovery.watch();
  a.loop.run();
  EXPECT_EQ(a.endings, std::vector<Ending>{Ending::kRefused});
}

// Changes of a lower version come from another discovery: applied to this list they would be wrong for good.
TEST(ListAnswers, ChangesOfALowerVersionFetchTheWholeList) {
  Answers a;
  a.play({kHead, chunk("{\"seq\":3,\"whole\":false,\"hosts\":[]}\n")}, Then::kSilence);
  EXPECT_EQ(a.endings, std::vector<Ending>{Ending::kMalformed});
  EXPECT_TRUE(a.lists.empty());
  EXPECT_EQ(a.discovery.version(), 0U) << "from which the next watch asks";
}

// After an address change whatever the old discovery still writes is ignored, and its watch is closed without
// a report.
TEST(ListAnswers, AddressChangeDuringAResponseDropsTheOldWatch) {
  Peer other;
  Answers a;
  std::optional<Line> next;
  a.discovery.watch();
  a.line = a.peer.accept();
  once_readable(a.loop, *a.line, [&] {
    a.line->request();
    a.line->write(kHead + chunk(kWhole + "\n").substr(0, 30));
    a.loop.after(1, [&] {
      a.line->write(chunk(kWhole + "\n").substr(30));  // not read yet when the address changes
      a.discovery.change_address(Poco::Net::SocketAddress("127.0.0.1", other.port()));
      next = other.accept();
      once_readable(a.loop, *next, [&] {
        EXPECT_TRUE(holds(next->request(), "from=5 "));
        next->write(kHead + chunk(kChange) + "0\r\n\r\n");
      });
    });
  });
  a.loop.run();
  ASSERT_EQ(a.lists.size(), 1U);
  EXPECT_EQ(a.lists[0].version, 7U);
  EXPECT_EQ(a.endings, std::vector<Ending>{Ending::kPeerClosed}) << "of the new one";
}

}  // namespace
}  // namespace shorelead::node
