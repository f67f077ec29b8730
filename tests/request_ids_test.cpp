// Which ids of requests that have ended are remembered, and for how many others.
#include "node/request_ids.h"

#include <gtest/gtest.h>

namespace shorelead::node {
namespace {

using Verdict = RequestIds::Verdict;
using End = RequestIds::End;

TEST(RequestIds, OnlyWhatMayHaveRunIsTurnedAway) {
  RequestIds ids;
  EXPECT_EQ(ids.open("a"), Verdict::kNew);
  EXPECT_EQ(ids.open("a"), Verdict::kOpen);
  ids.close("a", End::kNothingRan);
  EXPECT_EQ(ids.open("a"), Verdict::kNew);
  ids.close("a", End::kMayHaveRun);
  EXPECT_EQ(ids.open("a"), Verdict::kMayHaveRun);
  EXPECT_EQ(ids.open("b"), Verdict::kNew);
  ids.close("b", End::kServed);
  EXPECT_EQ(ids.open("b"), Verdict::kMayHaveRun);
}

TEST(RequestIds, ManyServedOnesDoNotDisplaceOneWhoseClientLeft) {
  RequestIds ids;
  ids.open("left");
  ids.close("left", End::kMayHaveRun);
  for (int n = 0; n < 100000; ++n) ids.close(std::to_string(n), End::kServed);
  EXPECT_EQ(ids.open("left"), Verdict::kMayHaveRun);
  EXPECT_EQ(ids.open("99999"), Verdict::kMayHaveRun);
}

TEST(RecentIds, KeepsTheLatest) {
  RecentIds recent(2);
  for (const char* const id : {"a", "b", "b", "c"}) recent.add(id);
  EXPECT_FALSE(recent.contains("a"));
  EXPECT_TRUE(recent.contains("b"));
  EXPECT_TRUE(recent.contains("c"));
}

}  // namespace
}  // namespace shorelead::node
