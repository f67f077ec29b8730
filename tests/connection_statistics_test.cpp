// Statistics of connections to backends: how long idle ones stay usable, and how long a connect may take.
#include "node/connection_statistics.h"

#include <gtest/gtest.h>

namespace shorelead::node {
namespace {

// Connections that the other side dropped without notice must not be reused.
TEST(IdleConnectionRecord, IdleTimeWithManyFailuresIsUnusableForAWhile) {
  IdleConnectionRecord record;
  Millis now = 1000;
  EXPECT_TRUE(record.usable(59000, now));
  for (int i = 0; i < 20; ++i) {
    record.record_outcome(0, i % 10 == 0, now);
    record.record_outcome(70, i % 10 == 0, now);
    record.record_outcome(150, i % 2 == 0, now);
  }
  EXPECT_TRUE(record.usable(10, now));
  EXPECT_TRUE(record.usable(70, now));
  EXPECT_FALSE(record.usable(150, now));
  EXPECT_FALSE(record.usable(900, now));  // nor any longer idle time
  now += 10001;
  EXPECT_TRUE(record.usable(900, now));
}

// If new connections fail as often, idle time is not the cause.
TEST(IdleConnectionRecord, FailuresAtAllIdleTimesLeaveEachUsable) {
  IdleConnectionRecord record;
  for (int i = 0; i < 60; ++i) {
    record.record_outcome(0, i % 4 == 0, 1000);
    record.record_outcome(150, i % 4 == 0, 1000);
  }
  EXPECT_TRUE(record.usable(150, 1000));
}

TEST(ConnectTimeout, ShortensForSilentBackendsButNotForDistantOnesOrForEver) {
  // A zone was lost without any reply: each request that opened a connection there waited until its own 110
  // ms were over, although it could have gone elsewhere.
  ConnectTimeout timeout(200);
  EXPECT_EQ(timeout.limit(1, false), 200) << "nothing known yet";
  for (int n = 0; n < 20; ++n) timeout.connected(1, 1);
  EXPECT_EQ(timeout.limit(2, false), 20);
  EXPECT_EQ(timeout.limit(2, true), 200) << "a probe waits";
  timeout.connected(3, 80);
  EXPECT_EQ(timeout.limit(3, false), 200) << "far away, as its probe told";
  EXPECT_EQ(timeout.limit(2, false), 20) << "the others are not";
  for (int n = 0; n < 300; ++n) n % 3 == 0 ? timeout.timed_out() : timeout.connected(1, 1);
  EXPECT_LE(timeout.limit(2, false), 25) << "a third silent is no slow path";
  for (int n = 0; n < 20; ++n) timeout.timed_out();
  EXPECT_GT(timeout.limit(2, false), 40) << "all silent may be one";
  for (int n = 0; n < 10000; ++n) timeout.timed_out();
  for (int n = 0; n < 60; ++n) timeout.connected(1, 1);
  timeout.connected(3, 1);
  EXPECT_EQ(timeout.limit(3, false), 20) << "near again";
}

TEST(Upstream, InvalidLoadReportsAreRejectedAsAWhole) {
  EXPECT_FALSE(parse_load(""));
  EXPECT_FALSE(parse_load("nonsense"));
  EXPECT_FALSE(parse_load("inflight=x,queue=,=3"));
  EXPECT_FALSE(parse_load("inflight=-1"));
  EXPECT_FALSE(parse_load("util=nan"));
  // A report with one invalid value is rejected as a whole, and does not outweigh the fleet's.
  EXPECT_FALSE(parse_load("inflight=nan,queue=2,util=0.5"));
  EXPECT_FALSE(parse_load("inflight=3,queue=1e300"));
  EXPECT_FALSE(parse_load("inflight=99999999999,queue=2,util=0.5"));
  EXPECT_FALSE(parse_load("inflight=3,queue=-2,util=0.5"));
  const auto load = parse_load("novel=1,inflight=3,,queue");
  ASSERT_TRUE(load);
  EXPECT_EQ(load->in_hand, 3);
  EXPECT_EQ(load->waiting, -1);
}

}  // namespace
}  // namespace shorelead::node
