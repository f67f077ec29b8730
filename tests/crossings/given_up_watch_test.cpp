// A call or watch that the process itself leaves: what has arrived on it and was not read yet. The peer is
// scripted; the order is forced within one turn of the loop.
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
constexpr Millis kLong = 20000;
constexpr Millis kDeadline = 1000;
constexpr Millis kSoon = 30;

class GivenUp {
 public:
  explicit GivenUp(Millis response)
      : discovery(loop, Poco::Net::SocketAddress("127.0.0.1", peer.port()), 5,
                  {.changed = [this](const List&) { ++lists; },
                   .ended = [this](Ending how) { endings.push_back(how); },
                   .incomplete = [this] { ++incomplete; }},
                  {.connect = kLong, .response = response, .silence = kLong}) {
    discovery.watch();
    line.emplace(peer.accept());
  }
  // Runs the step once the request has arrived, then the loop until nothing is due.
  void run(const std::function<void()>& step) {
    once_readable(loop, *line, [this, step] {
      line->request();
      step();
      loop.after(kSoon, [this] { loop.stop(); });
    });
    loop.run();
  }
  void write_unread(const std::string& text) {
    line->write(text);
    line->await_taken();
  }

  Loop loop;
  Peer peer;
  std::optional<Line> line;
  int lists = 0;
  int incomplete = 0;
  std::vector<Ending> endings;
  Discovery discovery;
};

TEST(GivenUpWatch, AListThatArrivesInTheTurnOfTheDeadlineIsApplied) {
  GivenUp call(kDeadline);
  call.run([&call] {
    call.write_unread(first_line(kList));
    const Millis deadline = call.loop.now() + kDeadline + kSoon;
    while (call.loop.now() < deadline) continue;
  });
  EXPECT_EQ(call.lists, 1);
  EXPECT_TRUE(call.endings.empty()) << "it was answered in time";
}

TEST(GivenUpWatch, UnreadBytesAtAnAddressChangeCountAsAnIncompleteList) {
  for (const bool written : {false, true}) {
    Peer other;
    GivenUp watch(kLong);
    watch.run([&watch, &other, written] {
      if (written) watch.write_unread(first_line(kList));
      watch.discovery.change_address(Poco::Net::SocketAddress("127.0.0.1", other.port()));
    });
    EXPECT_EQ(watch.incomplete, written ? 1 : 0);
    EXPECT_EQ(watch.lists, 0);
  }
}

}  // namespace
}  // namespace shorelead::node
