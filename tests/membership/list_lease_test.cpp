// For how long a list may be acted on: one history for each way in which a change comes to bind a process.
#include "membership/list_lease.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace shorelead::membership {
namespace {

using CallEnd = ListLease::CallEnd;

constexpr Millis kGrace = 250;
constexpr Millis kAllowance = kGrace - ListLease::kHeldUp;
constexpr Millis kStart = 10000;

ListLease asked_lease(Millis ask_every = 10000) {
  ListLease lease;
  lease.adopt({.grace = kGrace, .pushed = false, .ask_every = ask_every});
  return lease;
}

// A watch that stands, on which a sign of life has just come.
ListLease watching(bool pushed = false) {
  ListLease lease;
  lease.adopt({.grace = kGrace, .pushed = pushed, .ask_every = 10000});
  lease.asked(kStart - 4000);
  lease.answered();
  lease.heard(kStart);
  return lease;
}

TEST(ListLease, WithoutAStatedGraceAListIsGoodForEver) {
  ListLease lease;
  EXPECT_EQ(lease.validity(), ListValidity());
  lease.asked(kStart);
  lease.unfinished(kStart);
  lease.ended(CallEnd::kFailed, kStart + 1);
  EXPECT_EQ(lease.validity(), ListValidity());
}

TEST(ListLease, WhatAProcessIsGivenAtItsStartIsOfNoKnownAge) {
  ListLease lease = asked_lease();
  EXPECT_LT(lease.validity().until, 0);
  lease.asked(kStart);
  EXPECT_LT(lease.validity().until, 0);
  lease.ended(CallEnd::kFailed, kStart + 1);
  EXPECT_LT(lease.validity().until, 0);
}

TEST(ListLease, AnAnswerCountsFromItsCall) {
  ListLease lease = asked_lease();
  lease.asked(kStart);
  lease.answered();
  EXPECT_EQ(lease.validity().until, kStart + ListLease::kMostAge + kAllowance);
}

TEST(ListLease, AWatchThatShowsLifeHoldsOn) {
  ListLease lease = watching();
  for (Millis now = kStart; now < kStart + 60000; now += ListLease::kSignInterval) {
    lease.heard(now);
    EXPECT_GT(lease.validity().until, now + ListLease::kSignInterval) << "until the next sign, at least";
  }
}

// Silence: 6 s from the last sign at most, of which what was on its way then takes a part.
TEST(ListLease, AWatchThatFallsSilentHoldsForLessThanTheTimeForSilence) {
  EXPECT_LE(watching().validity().until, kStart + ListLease::kMostAge);
  EXPECT_LE(watching(true).validity().until, kStart + ListLease::kMostAge);
}

TEST(ListLease, AfterItsWatchAProcessHasAQuarterOfTheTimeUntilACallHasEnded) {
  ListLease lease = watching();
  lease.ended(CallEnd::kWatchOver, kStart + 100);
  const Millis unasked = kStart + 100 + ListLease::kUnasked + kAllowance;
  EXPECT_EQ(lease.validity().until, unasked);
  EXPECT_EQ(lease.validity().confirmed_for, ListLease::kUnasked + kAllowance);
  lease.asked(kStart + 1000);
  EXPECT_EQ(lease.validity().until, unasked) << "a call that is open proves nothing";
  lease.ended(CallEnd::kNotMade, kStart + 1010);
  EXPECT_EQ(lease.validity().until, unasked) << "nobody was asked";
  lease.asked(kStart + 1020);
  lease.ended(CallEnd::kFailed, kStart + 1100);
  EXPECT_EQ(lease.validity().until, kStart - ListLease::kSignInterval + ListLease::kMostAge + kAllowance);
  EXPECT_EQ(lease.validity().confirmed_for, ListLease::kMostAge + kAllowance);
}

TEST(ListLease, ACallAfterOneThatFailedHoldsNoLongerThanOneThatIsTheFirst) {
  ListLease lease = watching();
  lease.ended(CallEnd::kWatchOver, kStart);
  lease.asked(kStart + 10);
  lease.ended(CallEnd::kFailed, kStart + 20);
  lease.asked(kStart + 30);
  EXPECT_EQ(lease.validity().until, kStart + 30 + ListLease::kUnasked + kAllowance);
}

TEST(ListLease, ACallThatFailsAfterTheLeaseRanOutDoesNotRenewIt) {
  ListLease lease = watching();
  lease.ended(CallEnd::kWatchOver, kStart + 100);
  const Millis unasked = kStart + 100 + ListLease::kUnasked;
  lease.asked(unasked + 50);
  lease.ended(CallEnd::kFailed, unasked + 60);
  EXPECT_LE(lease.validity().until, unasked + kAllowance);
  EXPECT_EQ(lease.validity().confirmed_for, ListLease::kUnasked + kAllowance);
  lease.asked(unasked + 400);
  lease.answered();
  EXPECT_EQ(lease.validity().until, unasked + 400 + ListLease::kMostAge + kAllowance);
}

TEST(ListLease, SettingsThatWantListsMoreOftenCount) {
  ListLease lease = asked_lease(800);
  lease.asked(kStart);
  lease.answered();
  lease.ended(CallEnd::kWatchOver, kStart + 500);
  EXPECT_EQ(lease.validity().until, kStart + 500 + 800 + kAllowance);
  lease.asked(kStart + 600);
  lease.ended(CallEnd::kFailed, kStart + 700);
  EXPECT_EQ(lease.validity().until, kStart + 3200 + kAllowance);
}

TEST(ListLease, AListThatHasBegunToComeBindsAndOutdatesEarlierChecksUntilOneIsWhole) {
  ListLease lease = watching();
  lease.unfinished(kStart + 100);
  lease.unfinished(kStart + 140);
  EXPECT_EQ(lease.validity().until, kStart + 100 + kAllowance);
  EXPECT_EQ(lease.validity().confirmed_after, kStart + 100);
  lease.heard(kStart + 150);
  EXPECT_GT(lease.validity().until, kStart + ListLease::kSignInterval) << "it is whole";
  lease.unfinished(kStart + 200);
  lease.ended(CallEnd::kWatchOver, kStart + 300);
  EXPECT_EQ(lease.validity().until, kStart + 200 + kAllowance);
  lease.asked(kStart + 400);
  EXPECT_EQ(lease.validity().until, kStart + 200 + kAllowance);
  lease.answered();
  EXPECT_EQ(lease.validity().until, kStart + 400 + ListLease::kMostAge + kAllowance);
  EXPECT_LT(lease.validity().confirmed_after, 0);
}

TEST(ListLease, WherePushedTheEndOfTheWatchEndsTheLease) {
  ListLease lease = watching(true);
  lease.ended(CallEnd::kWatchOver, kStart + 100);
  EXPECT_EQ(lease.validity().until, kStart + 100 + kAllowance);
  EXPECT_EQ(lease.validity().confirmed_for, kAllowance);
  lease.asked(kStart + 200);
  lease.ended(CallEnd::kFailed, kStart + 300);
  EXPECT_EQ(lease.validity().until, kStart + 100 + kAllowance);
  lease.asked(kStart + 400);
  lease.answered();
  EXPECT_EQ(lease.validity().until, kStart + 400 + ListLease::kMostAge + kAllowance);
}

TEST(ListLease, AMoveOfDiscoveryBindsByItsOwnTime) {
  ListLease lease = watching();
  lease.moved(kStart + 100);
  EXPECT_LE(lease.validity().until, kStart + 100 + ListLease::kMoved + kAllowance);
  lease.asked(kStart + 100);
  lease.ended(CallEnd::kFailed, kStart + 200);
  EXPECT_LE(lease.validity().until, kStart + 100 + ListLease::kMoved + kAllowance);
}

TEST(ListLease, AGraceShorterThanAProcessMayBeHeldUpAllowsNothing) {
  ListLease lease;
  lease.adopt({.grace = 100, .pushed = false, .ask_every = 10000});
  lease.asked(kStart);
  lease.answered();
  EXPECT_EQ(lease.validity().until, kStart + ListLease::kMostAge);
}

// Whatever happens: no time runs beyond the most age of what the list is known to be, and none is given by
// anything but an answer or a sign of life.
void no_lease_outlives_its_proof() {
  ListLease lease = asked_lease();
  Millis now = kStart;
  Millis proof = -1e9;
  bool open = false;
  bool whole = false;
  const int steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    now += *rc::gen::inRange(0, 3000);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        if (!std::exchange(open, true)) lease.asked(now), whole = false;
        break;
      case 1:
        if (!open || std::exchange(whole, true)) break;
        lease.answered();
        proof = now;
        break;
      case 2:
        if (!whole) break;
        lease.heard(now);
        proof = now;
        break;
      case 3:
        if (!std::exchange(open, false)) break;
        if (*rc::gen::inRange(0, 4) == 0) lease.unfinished(now);
        lease.ended(std::exchange(whole, false) ? CallEnd::kWatchOver : CallEnd::kFailed, now);
        break;
      default:
        lease.moved(now);
        open = whole = false;
        break;
    }
    RC_ASSERT(lease.validity().until <= proof + ListLease::kMostAge + kAllowance);
    RC_ASSERT(lease.validity().confirmed_for <= ListLease::kMostAge + kAllowance);
  }
}

TEST(ListLease, NoLeaseOutlivesItsProof) { EXPECT_TRUE(rc::check(no_lease_outlives_its_proof)); }

}  // namespace
}  // namespace shorelead::membership
