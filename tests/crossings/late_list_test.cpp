// A list that takes long to arrive from the first byte of its response or chunk on, though its own text comes
// at once: what it says may be as old. The peer is scripted; only the pause before the rest passes in real
// time.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "node/discovery.h"
#include "node_case.h"
#include "peer.h"

namespace shorelead::node {
namespace {

const std::string kList = "{\"seq\":6,\"whole\":true,\"hosts\":[]}\n";
const std::string kChange = "22\r\n{\"seq\":7,\"whole\":true,\"hosts\":[]}\n\r\n";
const std::string kKeepAlive = "1\r\n\n\r\n";
constexpr Millis kLong = 20000;
constexpr Millis kLate = 80;

struct Watched {
  // Writes the first part, and the rest once that has been read for so long that the whole is late.
  void play(const std::string& first, const std::string& rest) {
    rest_of_response = rest;
    discovery.watch();
    line.emplace(peer.accept());
    once_readable(loop, *line, [this, first] {
      line->request();
      first.empty() ? write_rest_later() : line->write(first);
    });
    loop.run();
  }
  void write_rest_later() {
    if (std::exchange(rest_scheduled, true)) return;
    loop.after(kLate, [this] {
      rest_written = true;
      line->write(rest_of_response);
    });
  }
  void stop_after_rest() {
    if (rest_written) loop.stop();
  }

  Loop loop;
  Peer peer;
  std::optional<Line> line;
  std::string rest_of_response;
  bool rest_scheduled = false;
  bool rest_written = false;
  int lists = 0;
  int signs = 0;
  std::optional<bool> first_was_late;
  std::optional<Ending> ending;
  Discovery discovery{loop,
                      Poco::Net::SocketAddress("127.0.0.1", peer.port()),
                      5,
                      {.changed = [this](const List&) { ++lists; },
                       .ended =
                           [this](Ending how) {
                             ending = how;
                             loop.stop();
                           },
                       .current =
                           [this](bool first, bool late) {
                             if (first) first_was_late = late;
                             if (!first) ++signs;
                             stop_after_rest();
                           },
                       .incomplete = [this] { write_rest_later(); }},
                      {.connect = kLong, .response = kLong, .silence = kLong, .change = kLate / 2}};
};

TEST(LateList, AFirstListIsLateFromTheFirstByteOfItsResponse) {
  const std::string response = first_line(kList);
  const std::size_t head = response.find("\r\n\r\n") + 4;
  for (const std::size_t first : {std::size_t{1}, head / 2, head, head + 4}) {
    Watched watched;
    watched.play(response.substr(0, first), response.substr(first));
    EXPECT_EQ(watched.lists, 1);
    EXPECT_EQ(watched.first_was_late, std::optional(true)) << first << " bytes came first";
  }
}

TEST(LateList, AFirstListThatBeginsLateAndComesAtOnceIsNotLate) {
  Watched watched;
  watched.play("", first_line(kList));
  EXPECT_EQ(watched.first_was_late, std::optional(false));
}

TEST(LateList, AChangeIsLateFromTheFirstByteOfItsChunk) {
  Watched watched;
  watched.play(first_line(kList) + kChange.substr(0, 1), kChange.substr(1));
  EXPECT_EQ(watched.lists, 2);
  EXPECT_EQ(watched.ending, Ending::kSilent) << "what follows may be as late";
}

TEST(LateList, ALateKeepAliveIsNoSignOfLife) {
  Watched watched;
  watched.play(first_line(kList) + kKeepAlive.substr(0, 1), kKeepAlive.substr(1));
  EXPECT_EQ(watched.signs, 0);
  EXPECT_EQ(watched.ending, Ending::kSilent);
}

}  // namespace
}  // namespace shorelead::node
