// How long a list may be acted on: one sequence of events for each way in which a change comes to bind a
// process.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "membership/lease_case.h"

namespace shorelead::membership {
namespace {

TEST(ListLease, WithoutAConfiguredGraceAListIsValidForEver) {
  ListLease lease;
  EXPECT_EQ(lease.validity(), ListValidity());
  lease.call_begun(kStart);
  lease.list_incomplete(kStart);
  lease.call_ended(CallEnd::kFailed, kStart + 1);
  EXPECT_EQ(lease.validity(), ListValidity());
}

TEST(ListLease, ListGivenAtTheStartIsNotValid) {
  ListLease lease = lease_on_request();
  EXPECT_LT(lease.validity().until, 0);
  lease.call_begun(kStart);
  EXPECT_LT(lease.validity().until, 0);
  lease.call_ended(CallEnd::kFailed, kStart + 1);
  EXPECT_LT(lease.validity().until, 0);
}

TEST(ListLease, ValidityCountsFromTheStartOfTheCall) {
  ListLease lease = lease_on_request();
  lease.call_begun(kStart);
  lease.call_answered(kStart);
  EXPECT_EQ(lease.validity().until, kStart + ListLease::kMaxAge + kAllowance);
}

TEST(ListLease, KeepAlivesExtendTheLease) {
  ListLease lease = watching();
  for (Millis now = kStart; now < kStart + 60000; now += ListLease::kSignInterval) {
    lease.sign_of_life(now);
    EXPECT_GT(lease.validity().until, now + ListLease::kSignInterval) << "until the next sign, at least";
  }
}

// At most 6 s from the last keep-alive, less the age that undelivered changes may have.
TEST(ListLease, SilentWatchHoldsTheLeaseNoLongerThanMaxAge) {
  EXPECT_LE(watching().validity().until, kStart + ListLease::kMaxAge);
  EXPECT_LE(watching(true).validity().until, kStart + ListLease::kMaxAge);
}

TEST(ListLease, AfterTheWatchTheIntervalOfTheSettingsHoldsUntilACallEnds) {
  ListLease lease = watching(false, kShortAskEvery);
  lease.call_ended(CallEnd::kWatchEnded, kStart + 100);
  const Millis held_until = kStart + 100 + kShortAskEvery + kAllowance;
  EXPECT_EQ(lease.validity().until, held_until);
  lease.call_begun(kStart + 1000);
  EXPECT_EQ(lease.validity().until, held_until) << "a call that is open proves nothing";
  lease.call_ended(CallEnd::kNotAttempted, kStart + 1010);
  EXPECT_EQ(lease.validity().until, held_until) << "nobody was asked";
  lease.call_begun(kStart + 1020);
  lease.call_ended(CallEnd::kFailed, kStart + 1100);
  EXPECT_EQ(lease.validity().until, kStart + 100 + ListLease::kEndedWatchDelay + kAllowance);
}

// With a long interval the end of the watch bounds the lease, whatever the calls do.
TEST(ListLease, AfterTheWatchALongIntervalLeavesTheDelayOfItsEnd) {
  const Millis held_until = kStart + 100 + ListLease::kEndedWatchDelay + kAllowance;
  ListLease lease = watching();
  lease.call_ended(CallEnd::kWatchEnded, kStart + 100);
  EXPECT_EQ(lease.validity().until, held_until);
  lease.call_begun(kStart + 1000);
  EXPECT_EQ(lease.validity().until, held_until);
  lease.call_ended(CallEnd::kFailed, kStart + 3000);
  EXPECT_EQ(lease.validity().until, held_until);
  lease.call_begun(held_until + 10);
  lease.call_ended(CallEnd::kFailed, held_until + 20);
  EXPECT_EQ(lease.validity().until, held_until) << "a failed call does not renew it";
}

TEST(ListLease, CallAfterAFailedOneHoldsNoLongerThanAFirstCall) {
  ListLease lease = watching(false, kShortAskEvery);
  lease.call_ended(CallEnd::kWatchEnded, kStart);
  lease.call_begun(kStart + 10);
  lease.call_ended(CallEnd::kFailed, kStart + 20);
  lease.call_begun(kStart + 30);
  EXPECT_EQ(lease.validity().until, kStart + 30 + kShortAskEvery + kAllowance);
}

TEST(ListLease, CallFailingAfterExpiryDoesNotRenewTheLease) {
  ListLease lease = watching(false, kShortAskEvery);
  lease.call_ended(CallEnd::kWatchEnded, kStart + 100);
  const Millis held_until = kStart + 100 + kShortAskEvery;
  lease.call_begun(held_until + 50);
  lease.call_ended(CallEnd::kFailed, held_until + 60);
  EXPECT_LE(lease.validity().until, held_until + kAllowance);
  lease.call_begun(held_until + 400);
  lease.call_answered(held_until + 400);
  EXPECT_EQ(lease.validity().until, held_until + 400 + ListLease::kMaxAge + kAllowance);
}

TEST(ListLease, ACallThatWasNotAttemptedLeavesTheHoldOfTheFailedOneBeforeIt) {
  constexpr Millis kInterval = 1000;
  ListLease lease = watching(false, kInterval);
  lease.call_ended(CallEnd::kWatchEnded, kStart);
  lease.call_begun(kStart + 10);
  lease.call_ended(CallEnd::kFailed, kStart + 20);
  const ListValidity before = lease.validity();
  lease.call_begun(before.until - kAllowance - 10);
  lease.call_ended(CallEnd::kNotAttempted, before.until - kAllowance - 5);
  EXPECT_EQ(lease.validity(), before);
}

TEST(ListLease, ShorterConfiguredIntervalShortensTheHold) {
  ListLease lease = lease_on_request(400);
  lease.call_begun(kStart);
  lease.call_answered(kStart);
  lease.call_ended(CallEnd::kWatchEnded, kStart + 500);
  EXPECT_EQ(lease.validity().until, kStart + 500 + 400 + kAllowance);
  lease.call_begun(kStart + 600);
  lease.call_ended(CallEnd::kFailed, kStart + 700);
  EXPECT_EQ(lease.validity().until, kStart + 1600 + kAllowance);
}

// A rejected call tells nothing, even if its response came in parts.
TEST(ListLease, WithPushedListsTheEndOfTheWatchEndsTheLease) {
  ListLease lease = watching(true);
  lease.call_ended(CallEnd::kWatchEnded, kStart + 100);
  EXPECT_EQ(lease.validity().until, kStart + 100 + kAllowance);
  lease.call_begun(kStart + 200);
  lease.call_ended(CallEnd::kFailed, kStart + 300);
  EXPECT_EQ(lease.validity().until, kStart + 100 + kAllowance);
  lease.call_begun(kStart + 400);
  lease.call_answered(kStart + 400);
  EXPECT_EQ(lease.validity().until, kStart + 400 + ListLease::kMaxAge + kAllowance);
}

TEST(ListLease, WithPushedListsAFirstListThatArrivesLateProvesNothing) {
  for (const bool pushed : {false, true}) {
    ListLease lease;
    lease.adopt({.grace = kGrace, .pushed = pushed, .ask_every = kAskEvery});
    lease.call_begun(kStart);
    lease.list_incomplete(kStart + 10);
    lease.call_answered(kStart + 10, true);
    const Millis requested = kStart + ListLease::kMaxAge + kAllowance;
    EXPECT_EQ(lease.validity().until, pushed ? kStart + kAllowance : requested) << pushed;
    lease.sign_of_life(kStart + 4000);
    EXPECT_GT(lease.validity().until, kStart + 4000) << "the watch has caught up";
  }
}

TEST(ListLease, DiscoveryChangeLimitsTheLease) {
  ListLease lease = watching();
  lease.discovery_changed(kStart + 100);
  EXPECT_LE(lease.validity().until, kStart + 100 + ListLease::kDiscoveryChangeDelay + kAllowance);
  lease.call_begun(kStart + 100);
  lease.call_ended(CallEnd::kFailed, kStart + 200);
  EXPECT_LE(lease.validity().until, kStart + 100 + ListLease::kDiscoveryChangeDelay + kAllowance);
}

TEST(ListLease, TheFirstOfSeveralDiscoveryChangesLimitsTheLeaseUntilACallIsAnswered) {
  ListLease lease = watching();
  lease.discovery_changed(kStart + 100, kStart);
  lease.discovery_changed(kStart + 3000);
  EXPECT_LE(lease.validity().until, kStart + ListLease::kDiscoveryChangeDelay + kAllowance);
  lease.call_begun(kStart + 3100);
  lease.call_answered(kStart + 3200);
  lease.discovery_changed(kStart + 3300);
  EXPECT_EQ(lease.validity().until, kStart + 3300 + ListLease::kDiscoveryChangeDelay + kAllowance);
}

TEST(ListLease, GraceShorterThanTheMaxPauseAddsNothing) {
  ListLease lease;
  lease.adopt({.grace = 100, .pushed = false, .ask_every = kAskEvery});
  lease.call_begun(kStart);
  lease.call_answered(kStart);
  EXPECT_EQ(lease.validity().until, kStart + ListLease::kMaxAge);
}

// Property: the validity never exceeds the maximum age after the last message, and only a response or a
// keep-alive extends it.
void no_lease_outlives_its_proof() {
  ListLease lease = lease_on_request();
  Millis now = kStart;
  Millis proof = -1e9;
  bool open = false;
  bool whole = false;
  const int steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    now += *rc::gen::inRange(0, 3000);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        if (!std::exchange(open, true)) lease.call_begun(now), whole = false;
        break;
      case 1:
        if (!open || std::exchange(whole, true)) break;
        lease.call_answered(now);
        proof = now;
        break;
      case 2:
        if (!whole) break;
        lease.sign_of_life(now);
        proof = now;
        break;
      case 3:
        if (!std::exchange(open, false)) break;
        if (*rc::gen::inRange(0, 4) == 0) lease.list_incomplete(now);
        lease.call_ended(std::exchange(whole, false) ? CallEnd::kWatchEnded : CallEnd::kFailed, now);
        break;
      default:
        lease.discovery_changed(now);
        open = whole = false;
        break;
    }
    RC_ASSERT(lease.validity().until <= proof + ListLease::kMaxAge + kAllowance);
  }
}

TEST(ListLease, LeaseNeverOutlivesTheLastMessage) { EXPECT_TRUE(rc::check(no_lease_outlives_its_proof)); }

}  // namespace
}  // namespace shorelead::membership
