// When a node counts as notified: for each sentence of the operators' pages a history in which it binds, and
// one in which it does not yet.
#include "lab/list_notice.h"

#include <gtest/gtest.h>

#include "lab/audit.h"

namespace shorelead::lab {
namespace {

using By = ListNotices::By;

constexpr int kNode = 3;
constexpr int kBox = 7;
constexpr Millis kHad = 100000;  // discovery has it that the box drains
constexpr Millis kLate = kHad + 50000;

lab::Run history(bool pushed) {
  lab::Run run;
  run.lists_pushed = pushed;
  run.ask_every = 1500;
  run.lists_recorded = true;
  run.nodes.push_back({kNode, NodeDid::kStarted, kHad - 30000, 0});
  run.had.push_back({kBox, BoxState::kReady, kHad - 40000});
  run.had.push_back({kBox, BoxState::kDraining, kHad});
  run.had.push_back({kBox, BoxState::kGone, kHad + 900});
  return run;
}

// A watch that stands from long before on.
ListCall watch() { return {.node = kNode, .begun = kHad - 29000, .answered = kHad - 28990}; }

void expect_bound(const lab::Run& run, Millis at, By by, Millis now = kLate) {
  const auto notice = ListNotices(run).withdrawn(kNode, kBox, now);
  ASSERT_TRUE(notice);
  EXPECT_EQ(notice->at, at);
  EXPECT_EQ(notice->by, by);
}

TEST(ListNotices, ABoxThatIsWantedBindsNobody) {
  lab::Run run = history(false);
  run.had.resize(1);
  EXPECT_FALSE(ListNotices(run).withdrawn(kNode, kBox, kLate));
}

TEST(ListNotices, WhatWasWrittenBindsAtOnceTheProcessThatItWasWrittenTo) {
  lab::Run run = history(false);
  run.list_calls = {watch()};
  run.told.push_back({kNode, kBox, BoxState::kDraining, kHad + 120});
  expect_bound(run, kHad + 120, By::kWritten);
  run.told.back().node = kNode + 1;
  expect_bound(run, kHad + 6000, By::kAge);
  run.told.back().node = kNode;
  run.nodes.push_back({kNode, NodeDid::kStarted, kHad + 500, 0});
  run.list_calls.push_back({.node = kNode, .begun = kHad + 510, .answered = kHad + 520});
  expect_bound(run, kHad + 6000, By::kAge);
}

TEST(ListNotices, AChangeInPlaceOfWhichTheWatchEndedBindsTwoSecondsLater) {
  lab::Run run = history(false);
  run.ask_every = 10000;
  ListCall ended = watch();
  ended.ended = ended.ended_untold = kHad + 30;
  run.list_calls = {ended};
  expect_bound(run, kHad + 2030, By::kEnd);
  run.list_calls.push_back({.node = kNode, .begun = kHad + 40, .ended = kHad + 60});
  expect_bound(run, kHad + 2030, By::kEnd);
  run.told.push_back({kNode, kBox, BoxState::kDraining, kHad + 500});
  expect_bound(run, kHad + 500, By::kWritten);
}

TEST(ListNotices, AWatchThatEndedBeforeTheChangeOrBeforeTheProcessDoesNotBindByItsEnd) {
  lab::Run run = history(false);
  run.ask_every = 10000;
  ListCall ended = watch();
  ended.ended = ended.ended_untold = kHad - 10;
  run.list_calls = {ended};
  expect_bound(run, kHad + 6000, By::kAge);
  run.list_calls.front().ended = run.list_calls.front().ended_untold = kHad + 30;
  run.nodes.push_back({kNode, NodeDid::kStarted, kHad + 100, 0});
  run.list_calls.push_back({.node = kNode, .begun = kHad + 110, .answered = kHad + 120});
  expect_bound(run, kHad + 6000, By::kAge);
}

TEST(ListNotices, AChangeBindsSixSecondsAfterDiscoveryHadItAndCouldBeReached) {
  lab::Run run = history(false);
  run.list_calls = {watch()};
  expect_bound(run, kHad + 6000, By::kAge);
  run.outages.push_back({kHad - 100, kHad + 4000});
  expect_bound(run, kHad + 10000, By::kAge);
  run.outages[0] = {kHad + 1, kHad + 4000};
  expect_bound(run, kHad + 6000, By::kAge);
  run.outages[0] = {kHad - 100, 0};
  EXPECT_FALSE(ListNotices(run).withdrawn(kNode, kBox, kLate)) << "it never came back";
}

TEST(ListNotices, WithoutACallThatEndedSinceItsWatchAChangeBindsSoon) {
  lab::Run run = history(false);
  ListCall over = watch();
  over.ended = kHad + 300;
  run.list_calls = {over};
  expect_bound(run, kHad + 1800, By::kUnasked);
  run.list_calls.push_back({.node = kNode, .begun = kHad + 400});
  expect_bound(run, kHad + 1800, By::kUnasked);  // one that is open proves nothing
  run.list_calls.back().ended = kHad + 1700;
  expect_bound(run, kHad + 6000, By::kAge);
  run.list_calls.back().ended = 0;
  run.list_calls.back().answered = kHad + 1700;
  expect_bound(run, kHad + 6000, By::kAge);
}

// A process without a watch: four times as long if its call failed, and anew when discovery is back. The age
// binds meanwhile.
TEST(ListNotices, TheIntervalWithoutACallCountsAnewAfterAnOutageAndTheAgeDoesNot) {
  lab::Run run = history(false);
  ListCall over = watch();
  over.ended = kHad;
  run.list_calls = {over};
  run.outages.push_back({kHad + 250, kHad + 1400});
  expect_bound(run, kHad + 1500, By::kUnasked);
  run.outages[0] = {kHad + 250, kHad + 1600};
  expect_bound(run, kHad + 3100, By::kUnasked);
  run.outages[0] = {kHad + 250, kHad + 9000};
  expect_bound(run, kHad + 6000, By::kAge);
}

// Whether a notice binds the node at `now`.
bool binds(const lab::Run& run, Millis now) {
  const auto notice = ListNotices(run).withdrawn(kNode, kBox, now);
  return notice && notice->at <= now;
}

TEST(ListNotices, ABoxThatReturnsBindsUntilItsReturnWasWrittenOrIsSixSecondsOld) {
  lab::Run run = history(false);
  run.list_calls = {watch()};
  const Millis back = kHad + 5600;
  run.had.push_back({kBox, BoxState::kReady, back});
  EXPECT_FALSE(binds(run, kHad + 5999));
  EXPECT_TRUE(binds(run, kHad + 6000)) << "it is back, and the node does not know";
  EXPECT_TRUE(binds(run, back + 5999));
  EXPECT_FALSE(binds(run, back + 6000));
  run.told.push_back({kNode, kBox, BoxState::kReady, back + 100});
  EXPECT_FALSE(binds(run, kHad + 6000)) << "that it is ready again was written to the node";
  run.had.push_back({kBox, BoxState::kGone, back + 2000});
  EXPECT_FALSE(binds(run, back + 7999));
  EXPECT_TRUE(binds(run, back + 8000)) << "it went once more";
  run.lists_pushed = true;
  EXPECT_TRUE(binds(run, kHad));
  EXPECT_FALSE(binds(run, back)) << "pushed: as soon as discovery has it";
  EXPECT_TRUE(binds(run, back + 2000));
}

// The list that it was given at its start may have the return already, so that no answer names the box.
TEST(ListNotices, AReturnIsToldByAnyAnswerToTheProcessAfterIt) {
  lab::Run run = history(false);
  const Millis back = kHad + 3000;
  run.had.push_back({kBox, BoxState::kReady, back});
  run.nodes.push_back({kNode, NodeDid::kStarted, back + 100, 0});
  EXPECT_TRUE(binds(run, kHad + 6000));
  run.list_calls = {{.node = kNode, .begun = back + 200, .answered = back + 210}};
  EXPECT_FALSE(binds(run, kHad + 6000));
  run.list_calls[0].begun = back - 50;
  EXPECT_TRUE(binds(run, kHad + 6000)) << "a call of the process before";
}

// A reload of the process before delays the word of a withdrawal, not that of a return.
TEST(ListNotices, APushedReturnCountsAsSoonAsDiscoveryHasIt) {
  lab::Run run = history(true);
  const Millis back = kHad + 3000;
  run.had.push_back({kBox, BoxState::kReady, back});
  run.nodes.push_back({kNode, NodeDid::kReloaded, back - 100, 0});
  EXPECT_TRUE(binds(run, back - 1));
  EXPECT_FALSE(binds(run, back));
}

TEST(ListNotices, ALongIntervalBindsNoSoonerThanTheAgeOfTheChange) {
  lab::Run run = history(false);
  run.ask_every = 10000;
  ListCall over = watch();
  over.ended = kHad + 300;
  run.list_calls = {over};
  expect_bound(run, kHad + 6000, By::kAge);
}

TEST(ListNotices, AProcessThatHasNotCalledIsBoundAsSoon) {
  lab::Run run = history(false);
  run.list_calls = {watch()};
  run.nodes.push_back({kNode, NodeDid::kStarted, kHad + 500, 0});
  expect_bound(run, kHad + 2000, By::kUnasked);
  run.list_calls.push_back({.node = kNode, .begun = kHad + 600, .ended = kHad + 700});
  expect_bound(run, kHad + 6000, By::kAge);
}

TEST(ListNotices, ASilentWatchBindsSixSecondsAfterItFellSilentOrAtTheChange) {
  lab::Run run = history(false);
  ListCall silent = watch();
  silent.silent_since = kHad - 2000;
  run.list_calls = {silent};
  expect_bound(run, kHad + 4000, By::kSilence);
  run.list_calls[0].silent_since = kHad - 9000;
  expect_bound(run, kHad, By::kSilence);
  run.list_calls[0].ended = kHad - 5000;  // the node has left it, asked, and was refused
  run.list_calls.push_back({.node = kNode, .begun = kHad - 4900, .ended = kHad - 4890});
  expect_bound(run, kHad + 6000, By::kAge);
}

TEST(ListNotices, WherePushedAChangeBindsOnceDiscoveryHasItWatchOrNot) {
  lab::Run run = history(true);
  expect_bound(run, kHad, By::kPushed);
  run.list_calls = {watch()};
  expect_bound(run, kHad, By::kPushed);
  run.outages.push_back({kHad - 100, kHad + 4000});
  expect_bound(run, kHad + 4000, By::kPushed);
}

TEST(ListNotices, WherePushedASilentWatchAndANewConfigurationGiveTime) {
  lab::Run run = history(true);
  ListCall silent = watch();
  silent.silent_since = kHad - 2000;
  run.list_calls = {silent};
  expect_bound(run, kHad + 4000, By::kSilence);
  run.list_calls = {watch()};
  run.nodes.push_back({kNode, NodeDid::kReloaded, kHad - 1000, 0});
  expect_bound(run, kHad + 3000, By::kPushed);
}

// The auditor goes by it: broken past the bound, the grace and the slack, kept up to there.
TEST(ListNotices, TheAuditorHoldsEachNodeToIt) {
  lab::Run run = history(false);
  run.list_calls = {watch()};
  run.node_count = kNode + 1;
  run.drain_grace = 250;
  run.boxes.resize(kBox + 1);
  Arrived arrived;
  arrived.node = kNode;
  arrived.box = kBox;
  arrived.first_byte = kHad + 6000 + 250 + 50;
  run.arrived = {arrived};
  EXPECT_TRUE(audit(run, {}).clean());
  run.arrived[0].first_byte += 1;
  const Audit broken = audit(run, {});
  ASSERT_EQ(broken.findings.size(), 1U);
  EXPECT_EQ(broken.findings[0].breach, Breach::kDrained);
}

}  // namespace
}  // namespace shorelead::lab
