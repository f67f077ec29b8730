// A watch that ends in order may end instead of bringing a change, as a long poll whose wait is over: what
// discovery has then binds 2 s later, whatever becomes of the calls that follow.
#include <gtest/gtest.h>

#include "crossings/listed_node.h"

namespace shorelead::node {
namespace {

constexpr double kBindsAfter = 2000;
constexpr double kWatched = 700;

enum class Then { kNothing, kRejected, kReset };

void expect_bound_by_the_end(Then then) {
  ListedNode node(false);
  node.keep_alive();
  const double ended = steady_ms();
  node.watch().write("0\r\n\r\n");
  node.accept_call();
  if (then == Then::kRejected) node.watch().write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  if (then == Then::kReset) node.watch().reset();
  EXPECT_GT(node.served_until(ended + kBindsAfter / 2), 0.9) << "nothing binds yet";
  node.served_until(ended + kBindsAfter + ListedNode::kGrace);
  const std::size_t before = node.sent();
  node.served_until(ended + kBindsAfter + ListedNode::kGrace + kWatched);
  EXPECT_EQ(node.sent(), before) << static_cast<int>(then);
}

TEST(EndedWatch, NothingIsSentByTheListOfAWatchThatEndedInsteadOfTelling) {
  for (const Then then : {Then::kNothing, Then::kRejected, Then::kReset}) expect_bound_by_the_end(then);
}

}  // namespace
}  // namespace shorelead::node
