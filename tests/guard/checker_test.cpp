// Tests of the checker: each violation is counted under its rule, and the closest permitted case is not
// counted.
#include "guard/checker.h"

#include <gtest/gtest.h>

#include <vector>

#include "guard/listed_record.h"

namespace shorelead::guard {
namespace {

constexpr std::uint32_t kRequest = 7;
constexpr Millis kStart = 1000;
constexpr Millis kDue = 2000;
constexpr Millis kStatedTimeout = 100;

struct Case {
  explicit Case(const RequestRules& rules = {}) {
    RequestRules with = rules;
    with.due = kDue;
    checker.request_accepted(kRequest, with);
  }
  void write(Millis at, bool withdrawn = false, Millis stated_timeout = kStatedTimeout) {
    checker.attempt_written(kRequest, withdrawn, stated_timeout, at);
  }
  std::vector<Rule> violations;
  Checker checker{[this](Rule rule, std::uint32_t) { violations.push_back(rule); }};
};

using Violations = std::vector<Rule>;
const RequestRules kUnsafe{.run_once = true, .refusal_is_safe = false, .max_attempts = 3};
const RequestRules kKeyed{.refusal_is_safe = false, .max_attempts = 3, .window = 300};

TEST(Checker, NothingIsSentAfterTheFinalAnswer) {
  Case c(kKeyed);
  c.write(kStart);
  c.checker.attempt_ended(kRequest, false);
  c.checker.request_answered(kRequest, Answer::kServed);
  EXPECT_EQ(c.violations, Violations());
  c.write(kStart + 10);
  EXPECT_EQ(c.violations, Violations({Rule::kAfterAnswer}));
  c.checker.request_answered(kRequest, Answer::kFailed);
  EXPECT_EQ(c.violations.back(), Rule::kAnsweredTwice);
  c.checker.closed_unanswered(kRequest);
  EXPECT_EQ(c.violations.back(), Rule::kNeverAnswered);
  EXPECT_EQ(c.checker.violations(), 3U);
}

TEST(Checker, NothingIsWrittenAfterTheClientLeftOrItsDeadline) {
  Case left;
  left.checker.client_left(kRequest, kStart);
  left.write(kStart + 100);
  EXPECT_EQ(left.violations, Violations());
  Case late;
  late.checker.client_left(kRequest, kStart);
  late.write(kStart + 101);
  EXPECT_EQ(late.violations, Violations({Rule::kAfterClientLeft}));
  Case due;
  due.write(kDue, false, 0);
  EXPECT_EQ(due.violations, Violations());
  Case over;
  over.write(kDue + 1, false, 0);
  EXPECT_EQ(over.violations, Violations({Rule::kAfterDue}));
  Case told;
  told.write(kStart, false, kDue - kStart + 150);
  EXPECT_EQ(told.violations, Violations());
  Case longer;
  longer.write(kStart, false, kDue - kStart + 151);
  EXPECT_EQ(longer.violations, Violations({Rule::kDeadlineTooLong}));
}

TEST(Checker, NoEffectTwice) {
  Case again(kUnsafe);
  again.write(kStart);
  again.checker.attempt_ended(kRequest, true);
  again.write(kStart + 10);
  EXPECT_EQ(again.violations, Violations()) << "the first has never run";
  Case twice(kUnsafe);
  twice.write(kStart);
  twice.checker.attempt_ended(kRequest, false);
  twice.write(kStart + 10);
  EXPECT_EQ(twice.violations, Violations({Rule::kRunTwice}));
  Case beside(kKeyed);
  beside.write(kStart);
  beside.write(kStart + 10);
  EXPECT_EQ(beside.violations, Violations({Rule::kTwoAtOnce}));
  Case window(kKeyed);
  window.write(kStart);
  window.checker.attempt_ended(kRequest, false);
  window.write(kStart + 300);
  EXPECT_EQ(window.violations, Violations());
  window.checker.attempt_ended(kRequest, false);
  window.write(kStart + 301);
  EXPECT_EQ(window.violations, Violations({Rule::kOutsideWindow}));
  Case many({.max_attempts = 1});
  many.write(kStart);
  many.checker.attempt_ended(kRequest, false);
  many.write(kStart + 1);
  EXPECT_EQ(many.violations, Violations({Rule::kTooManyAttempts}));
  Case refused(kUnsafe);
  refused.write(kStart);
  refused.checker.attempt_ended(kRequest, false);
  refused.checker.request_answered(kRequest, Answer::kRefused);
  EXPECT_EQ(refused.violations, Violations({Rule::kRefusedAfterRun}));
}

TEST(Checker, AWithdrawnBackendGetsNoNewRequests) {
  ListedRecord listed;
  listed.begin_list(true);
  listed.listed("s-1", true);
  listed.listed("s-2", true);
  EXPECT_FALSE(listed.withdrawn("s-1", kStart));
  listed.begin_list(false);
  listed.listed("s-1", false);
  EXPECT_TRUE(listed.withdrawn("s-1", kStart));
  EXPECT_FALSE(listed.withdrawn("s-2", kStart));
  listed.add_out_of_service("s-2");
  EXPECT_TRUE(listed.withdrawn("s-2", kStart));
  listed.clear_out_of_service();
  listed.begin_list(true);
  listed.listed("s-1", true);
  EXPECT_TRUE(listed.withdrawn("s-2", kStart)) << "a whole list does not name it";
  Case c;
  c.write(kStart, true);
  EXPECT_EQ(c.violations, Violations({Rule::kToWithdrawn}));
}

// Once the list is outdated, no backend on it may get a new request until the list is valid again.
TEST(Checker, AnOutdatedListWithdrawsEveryBackend) {
  ListedRecord listed;
  listed.begin_list(true);
  listed.listed("s-1", true);
  listed.set_validity({.until = kStart});
  EXPECT_FALSE(listed.withdrawn("s-1", kStart - 1));
  EXPECT_TRUE(listed.withdrawn("s-1", kStart));
  listed.set_validity({.until = kStart + 100});
  EXPECT_FALSE(listed.withdrawn("s-1", kStart + 99));
  EXPECT_TRUE(listed.withdrawn("s-1", kStart + 100));
  EXPECT_TRUE(listed.withdrawn("s-2", kStart)) << "a valid list does not name it";
}

// Discovery was last heard at kStart; the lease wrongly holds the list for ever.
struct Heard {
  Heard() {
    listed.begin_list(true);
    listed.listed("s-1", true);
    note(DiscoverySign::Kind::kMessage, kStart);
  }
  void note(DiscoverySign::Kind kind, Millis at) { listed.discovery({kind, at, kGrace}); }
  bool withdrawn(Millis now) const { return listed.withdrawn("s-1", now); }
  static constexpr Millis kGrace = 250;
  ListedRecord listed;
};

TEST(Checker, SixSecondsWithoutAMessageOfDiscoveryWithdrawEveryBackendWhateverTheLeaseSays) {
  Heard heard;
  EXPECT_FALSE(heard.withdrawn(kStart + 6250));
  EXPECT_TRUE(heard.withdrawn(kStart + 6251));
  heard.note(DiscoverySign::Kind::kRefused, kStart + 800);
  EXPECT_TRUE(heard.withdrawn(kStart + 6251)) << "the watch was quiet before the outage";
  heard.note(DiscoverySign::Kind::kMessage, kStart + 7000);
  EXPECT_FALSE(heard.withdrawn(kStart + 7001));
}

TEST(Checker, AnOutageThatBeginsWhileTheListIsCurrentWithdrawsNobody) {
  Heard heard;
  heard.note(DiscoverySign::Kind::kWatchReset, kStart + 50);
  for (Millis at = kStart + 51; at < kStart + 9000; at += 500) heard.note(DiscoverySign::Kind::kRefused, at);
  EXPECT_FALSE(heard.withdrawn(kStart + 14000));
  EXPECT_TRUE(heard.withdrawn(kStart + 15500));
}

TEST(Checker, AResetOfTheWatchWithdrawsEveryBackendUntilAMessageComes) {
  Heard heard;
  heard.note(DiscoverySign::Kind::kWatchReset, kStart + 400);
  EXPECT_FALSE(heard.withdrawn(kStart + 650));
  EXPECT_TRUE(heard.withdrawn(kStart + 651));
  heard.note(DiscoverySign::Kind::kRefused, kStart + 450);
  EXPECT_TRUE(heard.withdrawn(kStart + 651));
  heard.note(DiscoverySign::Kind::kMessage, kStart + 700);
  EXPECT_FALSE(heard.withdrawn(kStart + 701));
}

}  // namespace
}  // namespace shorelead::guard
