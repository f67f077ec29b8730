// A watch has fallen silent unnoticed when nobody listens at discovery any more: a change that it missed
// binds 6 s after its last sign, whatever comes in between.
#include <gtest/gtest.h>

#include "crossings/listed_node.h"

namespace shorelead::node {
namespace {

enum class WatchEnd { kInOrder, kReset };

void expect_bound_after_a_silence(bool pushed, double silence, WatchEnd end) {
  constexpr double kWatched = 1500;  // behind the bound, while nobody listens
  ListedNode node(pushed);
  node.keep_alive();
  node.served_until(node.last_sign() + silence);
  node.discovery_goes_away();
  end == WatchEnd::kReset ? node.watch().reset() : node.watch().close();
  const double bound = node.last_sign() + ListedNode::kMaxAge + ListedNode::kGrace;
  node.served_until(bound);
  const std::size_t before = node.sent();
  EXPECT_EQ(node.served_until(bound + kWatched), 0);
  EXPECT_EQ(node.sent(), before) << "a change that the watch missed counts as told";
  node.discovery_returns();
  node.accept_call();
  node.watch().write(first_line(node.list(9)));
  while (!node.served()) continue;
}

constexpr double kShortSilence = 800;
constexpr double kLongSilence = 2000;

TEST(SilentWatch, ARequestedListThatAgesBehindASilenceIsNotRenewedByAnOutage) {
  expect_bound_after_a_silence(false, kShortSilence, WatchEnd::kReset);
  expect_bound_after_a_silence(false, kLongSilence, WatchEnd::kInOrder);
}
TEST(SilentWatch, APushedListThatAgesBehindASilenceIsNotRenewedByAnOutage) {
  expect_bound_after_a_silence(true, kShortSilence, WatchEnd::kInOrder);
  expect_bound_after_a_silence(true, kLongSilence, WatchEnd::kReset);
}

}  // namespace
}  // namespace shorelead::node
