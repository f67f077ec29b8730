// A new configuration names another discovery: what that one has binds 4 s after the signal, however late the
// configuration could be read and whatever followed it.
#include <gtest/gtest.h>

#include "crossings/listed_node.h"

namespace shorelead::node {
namespace {

constexpr double kBindsAfter = 4000;
constexpr double kWatched = 500;

void expect_nothing_sent_after_the_delay(ListedNode& node, double signalled) {
  node.served_until(signalled + kBindsAfter + ListedNode::kGrace);
  const std::size_t before = node.sent();
  node.served_until(signalled + kBindsAfter + ListedNode::kGrace + kWatched);
  EXPECT_EQ(node.sent(), before);
}

TEST(MovedDiscovery, DelayOfATornConfigurationRunsFromTheSignal) {
  const Peer silent;
  ListedNode node(false, [&silent](Config& config) {
    static int unread = 30;  // reads that fail, 50 ms apart
    if (unread-- > 0) throw UnreadableConfig("torn");
    config.discovery = Poco::Net::SocketAddress(silent.dial());
  });
  const double signalled = steady_ms();
  node.reload();
  expect_nothing_sent_after_the_delay(node, signalled);
}

TEST(MovedDiscovery, DelayOfSeveralConfigurationsInARowRunsFromTheFirst) {
  const Peer silent;
  const Peer another;
  ListedNode node(false, [&](Config& config) {
    static int reloads = 0;
    config.discovery = Poco::Net::SocketAddress((reloads++ % 2 == 0 ? silent : another).dial());
  });
  const double signalled = steady_ms();
  node.reload();
  node.served_until(signalled + kBindsAfter / 2);
  node.reload();
  expect_nothing_sent_after_the_delay(node, signalled);
}

}  // namespace
}  // namespace shorelead::node
