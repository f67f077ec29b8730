// What a response that arrives in part, or whose call is interrupted, does to the lease on the list.
#include <gtest/gtest.h>

#include "membership/lease_case.h"

namespace shorelead::membership {
namespace {

TEST(ListLease, IncompleteListEndsValidityUntilOneIsWhole) {
  ListLease lease = watching();
  lease.list_incomplete(kStart + 100);
  lease.list_incomplete(kStart + 140);
  EXPECT_EQ(lease.validity().until, kStart + 100 + kAllowance);
  lease.sign_of_life(kStart + 150);
  EXPECT_GT(lease.validity().until, kStart + ListLease::kSignInterval) << "it is whole";
  lease.list_incomplete(kStart + 200);
  lease.call_ended(CallEnd::kWatchEnded, kStart + 300);
  EXPECT_EQ(lease.validity().until, kStart + 200 + kAllowance);
  lease.call_begun(kStart + 400);
  EXPECT_EQ(lease.validity().until, kStart + 200 + kAllowance);
  lease.call_answered();
  EXPECT_EQ(lease.validity().until, kStart + 400 + ListLease::kMaxAge + kAllowance);
}

TEST(ListLease, AResponseWithoutAListLeavesTheLeaseAsItWas) {
  ListLease lease = watching();
  lease.call_ended(CallEnd::kWatchEnded, kStart + 100);
  const ListValidity before = lease.validity();
  lease.call_begun(kStart + 200);
  lease.list_incomplete(kStart + 300);
  EXPECT_EQ(lease.validity().until, kStart + 300 + kAllowance);
  lease.nothing_told();
  lease.call_ended(CallEnd::kFailed, kStart + 310);
  EXPECT_EQ(lease.validity(), before);
}

TEST(ListLease, WhatAResponseLeftUnfinishedStaysSoAfterARejectedCall) {
  ListLease lease = watching();
  lease.list_incomplete(kStart + 100);
  lease.call_ended(CallEnd::kWatchEnded, kStart + 110);
  lease.call_begun(kStart + 200);
  lease.list_incomplete(kStart + 300);
  lease.nothing_told();
  lease.call_ended(CallEnd::kFailed, kStart + 310);
  EXPECT_EQ(lease.validity().until, kStart + 100 + kAllowance);
}

TEST(ListLease, AnInterruptedCallEndsValidityUntilAListIsWhole) {
  for (const bool watched : {true, false}) {
    ListLease lease = watching();
    if (!watched) {
      lease.call_ended(CallEnd::kWatchEnded, kStart);
      lease.call_begun(kStart + 50);
    }
    lease.call_ended(CallEnd::kInterrupted, kStart + 100);
    EXPECT_EQ(lease.validity().until, kStart + 100 + kAllowance) << watched;
    lease.call_begun(kStart + 200);
    lease.call_ended(CallEnd::kFailed, kStart + 300);
    EXPECT_EQ(lease.validity().until, kStart + 100 + kAllowance) << watched;
    lease.call_begun(kStart + 400);
    lease.call_answered();
    EXPECT_EQ(lease.validity().until, kStart + 400 + ListLease::kMaxAge + kAllowance) << watched;
  }
}

}  // namespace
}  // namespace shorelead::membership
