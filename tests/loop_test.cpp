// The event loop: order and cancellation of timers, and handlers that throw.
#include "net/loop.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <vector>

#include "node/net.h"

namespace shorelead::node {
namespace {

TEST(Loop, TimersFireInOrderAndCancelledOnesDoNot) {
  Loop loop;
  std::string fired;
  const Millis now = loop.now();
  loop.at(now + 3, [&] { fired += "c"; });
  loop.at(now + 1, [&] { fired += "a"; });
  Loop::TimerId gone = loop.at(now + 2, [&] { fired += "x"; });
  loop.at(now + 2, [&] { fired += "b"; });
  loop.at(now + 4, [&] { loop.stop(); });
  loop.cancel(gone);
  EXPECT_EQ(gone, 0U);
  loop.run();
  EXPECT_EQ(fired, "abc");
}

// An exception does not leave the handler, and tasks deferred with later() still run.
TEST(Loop, ADeferredTaskRunsAfterItsHandlerThrows) {
  Loop loop;
  bool after = false;
  loop.after(1, [&] {
    loop.later([&] { after = true; });
    throw std::runtime_error("on purpose");
  });
  loop.after(2, [&] { loop.stop(); });
  loop.run();
  EXPECT_TRUE(after);
}

}  // namespace
}  // namespace shorelead::node
