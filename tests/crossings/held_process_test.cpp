// A process that is held up before it reads what discovery has written or how its watch ended: the grace runs
// from the event, and has to leave room for the longest pause between the check of a request and its write.
#include <gtest/gtest.h>

#include <functional>

#include "crossings/listed_node.h"

namespace shorelead::node {
namespace {

constexpr double kMaxPause = 150;

void wait_until(double end) {
  pollfd nobody{-1, 0, 0};
  while (steady_ms() < end) ::poll(&nobody, 1, 1);
}

// `event` binds the node from the moment in which it occurs.
void expect_nothing_sent_by_the_old_list(bool pushed, const char* what,
                                         const std::function<void(ListedNode&)>& event) {
  ListedNode node(pushed);
  node.keep_alive();
  node.hold();
  const double occurred = steady_ms();
  event(node);
  wait_until(occurred + kMaxPause);
  node.resume();
  node.await_turn();
  const std::size_t before = node.sent();
  node.served_until(occurred + ListedNode::kGrace);
  EXPECT_EQ(node.sent(), before) << "a pause before a write would exceed the grace: " << what;
}

TEST(HeldProcess, GraceOfAListInPartRunsFromItsArrivalNotFromItsReading) {
  for (const bool pushed : {false, true}) {
    expect_nothing_sent_by_the_old_list(pushed, "size of a chunk",
                                        [](ListedNode& node) { node.watch().write("2"); });
    expect_nothing_sent_by_the_old_list(pushed, "part of a list",
                                        [](ListedNode& node) { node.watch().write("22\r\n{\"seq\":9"); });
  }
}

TEST(HeldProcess, GraceOfAListThatTricklesRunsFromItsFirstByte) {
  expect_nothing_sent_by_the_old_list(false, "byte by byte", [](ListedNode& node) {
    const double begun = steady_ms();
    for (const char byte : std::string("22\r\n{\"seq\":9")) {
      node.watch().write(std::string(1, byte));
      wait_until(steady_ms() + kMaxPause / 20);
    }
    EXPECT_LT(steady_ms() - begun, kMaxPause);
  });
}

TEST(HeldProcess, GraceAfterAResetOfTheWatchRunsFromTheReset) {
  for (const bool pushed : {false, true})
    expect_nothing_sent_by_the_old_list(pushed, "reset", [](ListedNode& node) { node.watch().reset(); });
}

TEST(HeldProcess, GraceOfAPushedListRunsFromTheEndOfItsWatch) {
  expect_nothing_sent_by_the_old_list(true, "end", [](ListedNode& node) { node.watch().close(); });
}

TEST(HeldProcess, GraceOfARejectedListRunsFromItsArrival) {
  expect_nothing_sent_by_the_old_list(false, "rejected list",
                                      [](ListedNode& node) { node.watch().write("8\r\nno list\n\r\n"); });
}

}  // namespace
}  // namespace shorelead::node
