// A process that is held up before it reads what discovery has written: the grace runs from the writing, and
// has to leave room for the longest pause between the check of a request and its write.
#include <gtest/gtest.h>

#include "crossings/listed_node.h"

namespace shorelead::node {
namespace {

constexpr double kMaxPause = 150;

void wait_until(double end) {
  pollfd nobody{-1, 0, 0};
  while (steady_ms() < end) ::poll(&nobody, 1, 1);
}

void expect_nothing_sent_by_the_old_list(bool pushed, const std::string& first_bytes) {
  ListedNode node(pushed);
  node.keep_alive();
  node.hold();
  const double written = steady_ms();
  node.watch().write(first_bytes);
  wait_until(written + kMaxPause);
  node.resume();
  node.watch().await_taken();
  const std::size_t before = node.sent();
  node.served_until(written + ListedNode::kGrace);
  EXPECT_EQ(node.sent(), before) << "a pause before a write would exceed the grace: " << first_bytes;
}

TEST(HeldProcess, GraceOfAListInPartRunsFromItsArrivalNotFromItsReading) {
  for (const bool pushed : {false, true}) {
    expect_nothing_sent_by_the_old_list(pushed, "2");
    expect_nothing_sent_by_the_old_list(pushed, "22\r\n{\"seq\":9");
  }
}

}  // namespace
}  // namespace shorelead::node
