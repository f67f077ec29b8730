// A change counts as told once discovery has written it; a reset of the watch may take it before it arrives.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "crossings/listed_node.h"

namespace shorelead::node {
namespace {

constexpr double kQuiet = 400;  // since the last sign of the watch: more than the last moment of discovery
constexpr double kWatched = 1500;

// Asks without pause while the test scripts discovery.
class ServedInBackground {
 public:
  explicit ServedInBackground(ListedNode& node) : client_(node.client()) {}
  // Of the requests since the start.
  int refused() const {
    stop_ = true;
    thread_.join();
    return refused_;
  }

 private:
  void run() {
    while (!stop_) {
      client_.write(get("/safe", "X-Timeout-Ms: 1000\r\n"));
      refused_ += status_of(client_.answer()) == "HTTP/1.1 200" ? 0 : 1;
    }
  }

  Line client_;
  mutable std::atomic<bool> stop_{false};
  std::atomic<int> refused_{0};
  mutable std::thread thread_{[this] { run(); }};
};

enum class Then { kSilence, kRejected, kReset, kNobodyListens };

void expect_nothing_sent_after_a_reset(bool pushed, Then then) {
  ListedNode node(pushed);
  node.keep_alive();
  node.served_until(node.last_sign() + kQuiet);
  if (then == Then::kNobodyListens) node.discovery_goes_away();
  node.watch().reset();
  const double bound = steady_ms() + ListedNode::kGrace;
  if (then != Then::kNobodyListens) node.accept_call();
  if (then == Then::kRejected) node.watch().write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  if (then == Then::kReset) node.watch().reset();
  node.served_until(bound);
  const std::size_t before = node.sent();
  node.served_until(bound + kWatched);
  EXPECT_EQ(node.sent(), before) << "what was written into the watch may be lost, " << static_cast<int>(then);
}

TEST(ResetWatch, NothingIsSentByARequestedListAfterItsWatchWasReset) {
  for (const Then then : {Then::kSilence, Then::kRejected, Then::kReset, Then::kNobodyListens})
    expect_nothing_sent_after_a_reset(false, then);
}
TEST(ResetWatch, NothingIsSentByAPushedListAfterItsWatchWasReset) {
  for (const Then then : {Then::kSilence, Then::kRejected, Then::kReset, Then::kNobodyListens})
    expect_nothing_sent_after_a_reset(true, then);
}

// The other side: an answer that comes at once leaves no request refused.
TEST(ResetWatch, RequestsAreServedThroughAResetThatIsFollowedByAnAnswerAtOnce) {
  ListedNode node(false);
  node.keep_alive();
  node.served_until(node.last_sign() + kQuiet);
  const ServedInBackground served(node);
  node.watch().reset();
  node.accept_call();
  node.watch().write(first_line(node.list(9)));
  node.served_until(steady_ms() + kQuiet);
  EXPECT_EQ(served.refused(), 0);
}

}  // namespace
}  // namespace shorelead::node
