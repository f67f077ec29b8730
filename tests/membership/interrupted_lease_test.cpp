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
  lease.call_answered(kStart + 400);
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
    lease.call_answered(kStart + 400);
    EXPECT_EQ(lease.validity().until, kStart + 400 + ListLease::kMaxAge + kAllowance) << watched;
  }
}

constexpr Millis kCheckInterval = 500;

// A watch ends at kStart, and connections are refused from then on, up to `until`.
ListLease out_of_reach(bool pushed, Millis until, Millis interval = kCheckInterval) {
  ListLease lease = watching(pushed);
  lease.call_ended(CallEnd::kWatchEnded, kStart);
  for (Millis now = kStart + 1; now <= until; now += interval) lease.unreachable(now);
  return lease;
}

TEST(ListLease, AListDoesNotAgeWhileDiscoveryRefusesConnections) {
  constexpr Millis kOutage = 20 * kCheckInterval;
  const Millis before = out_of_reach(false, kStart).validity().until;
  ListLease lease = out_of_reach(false, kStart + 1 + kOutage);
  EXPECT_EQ(lease.validity().until, before + kOutage);
  lease.call_begun(kStart + kOutage + 10);
  lease.call_ended(CallEnd::kFailed, kStart + kOutage + 20);
  EXPECT_EQ(lease.validity().until, before + kOutage) << "it ages again from the latest proof on";
}

TEST(ListLease, AListWhoseWatchWasQuietBeforeAnOutageAgesOn) {
  constexpr Millis kQuiet = ListLease::kMaxTimeToProof + 1;
  for (const bool pushed : {false, true}) {
    ListLease lease = watching(pushed);
    lease.call_ended(CallEnd::kWatchEnded, kStart + kQuiet);
    for (Millis now = kStart + kQuiet; now < kStart + 10000; now += kCheckInterval) lease.unreachable(now);
    const Millis ends_with_watch = kStart + kQuiet + kAllowance;
    EXPECT_EQ(lease.validity().until, pushed ? ends_with_watch : watching().validity().until);
    EXPECT_FALSE(lease.stands_still());
  }
}

TEST(ListLease, AResetOfTheWatchEndsValidityUntilACallIsAnswered) {
  for (const bool pushed : {false, true}) {
    ListLease lease = watching(pushed);
    lease.call_ended(CallEnd::kWatchReset, kStart + 300);
    EXPECT_EQ(lease.validity().until, kStart + 300 + kAllowance) << pushed;
    lease.call_begun(kStart + 310);
    lease.call_ended(CallEnd::kFailed, kStart + 320);
    lease.unreachable(kStart + 330);
    EXPECT_EQ(lease.validity().until, kStart + 300 + kAllowance) << pushed;
    lease.call_begun(kStart + 400);
    lease.call_answered(kStart + 410);
    EXPECT_EQ(lease.validity().until, kStart + 400 + ListLease::kMaxAge + kAllowance) << pushed;
  }
}

TEST(ListLease, AListThatWasCurrentWhenDiscoveryWentAwayStandsStillHoweverItsWatchEnded) {
  for (const CallEnd end : {CallEnd::kWatchEnded, CallEnd::kWatchReset}) {
    ListLease lease = watching();
    lease.call_ended(end, kStart + 10);
    for (Millis now = kStart + 11; now < kStart + 10000; now += kCheckInterval) lease.unreachable(now);
    EXPECT_TRUE(lease.stands_still());
    EXPECT_GT(lease.validity().until, kStart + 10000);
  }
}

TEST(ListLease, APushedListIsValidUpToTheLatestProofThatDiscoveryIsOutOfReach) {
  const Millis latest = kStart + 1 + 20 * kCheckInterval;
  EXPECT_EQ(out_of_reach(true, latest).validity().until, latest + kAllowance);
}

TEST(ListLease, ProofsThatDoNotFollowTheWatchOrEachOtherCloselyProveNothing) {
  for (const bool pushed : {false, true}) {
    ListLease late = watching(pushed);
    late.call_ended(CallEnd::kWatchEnded, kStart);
    const ListValidity before = late.validity();
    late.unreachable(kStart + ListLease::kMaxTimeToProof + 1);
    EXPECT_EQ(late.validity(), before) << pushed;
    const Millis interval = ListLease::kMaxTimeBetweenProofs + 1;
    const Millis first = out_of_reach(pushed, kStart + 1).validity().until;
    EXPECT_EQ(out_of_reach(pushed, kStart + 1 + 3 * interval, interval).validity().until, first) << pushed;
  }
}

TEST(ListLease, AnOutageDoesNotMakeAnIncompleteOrGivenListValid) {
  for (const bool pushed : {false, true}) {
    ListLease lease = watching(pushed);
    lease.list_incomplete(kStart - 10);
    lease.call_ended(CallEnd::kWatchEnded, kStart);
    for (Millis now = kStart + 1; now < kStart + 5000; now += kCheckInterval) lease.unreachable(now);
    EXPECT_EQ(lease.validity().until, kStart - 10 + kAllowance) << pushed;
  }
  ListLease given = lease_on_request();
  given.call_begun(kStart);
  given.call_ended(CallEnd::kFailed, kStart + 1);
  given.unreachable(kStart + 2);
  EXPECT_LT(given.validity().until, 0);
}

}  // namespace
}  // namespace shorelead::membership
