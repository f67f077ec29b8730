// Tests of the guard: each condition denies by itself, with its reason, and nothing else does.
#include "guard/guard.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace shorelead::guard {
namespace {

constexpr Millis kNow = 1000;

struct Denied {
  Reason reason;
  std::function<void(RequestState&)> change;
};

// A retry of a keyed request, within all limits.
RequestState allowed() {
  RequestState request;
  request.max_attempts = 3;
  request.attempts = 1;
  request.due = kNow + 100;
  request.repeat_until = kNow + 50;
  request.retries_left = 1;
  return request;
}

const std::vector<Denied> kAnyAttempt = {
    {Reason::kAnswered, [](auto& r) { r.answered = true; }},
    {Reason::kClientGone, [](auto& r) { r.client_waiting = false; }},
    {Reason::kDeadline, [](auto& r) { r.due = kNow; }},
    {Reason::kAttemptsSpent, [](auto& r) { r.attempts = 3; }},
    {Reason::kMayHaveRun, [](auto& r) { r.run_once = r.may_have_run = true; }},
    {Reason::kRepeatWindow, [](auto& r) { r.repeat_until = kNow; }},
    {Reason::kSlotClosed, [](auto& r) { r.slot_open = false; }},
};

TEST(Guard, AnAttemptIsWrittenOnlyIfAllConditionsHold) {
  EXPECT_TRUE(may_write(allowed(), BackendState(), kNow));
  std::vector<Denied> cases = kAnyAttempt;
  cases.push_back({Reason::kBodyTaken, [](auto& r) { r.body_taken = true; }});
  cases.push_back({Reason::kAnotherOut, [](auto& r) { r.in_flight = 1; }});
  for (const Denied& one : cases) {
    RequestState request = allowed();
    one.change(request);
    EXPECT_EQ(may_write(request, BackendState(), kNow).reason, one.reason) << name_of(one.reason);
  }
  EXPECT_EQ(may_write(allowed(), {.in_service = false}, kNow).reason, Reason::kBackendWithdrawn);
  EXPECT_EQ(may_write(allowed(), {.list_valid = false}, kNow).reason, Reason::kListOutdated);
  RequestState beside = allowed();
  beside.in_flight = 1;
  beside.parallel = true;
  EXPECT_TRUE(may_write(beside, BackendState(), kNow));
}

TEST(Guard, ARetryIsDecidedOnlyIfAllConditionsHold) {
  EXPECT_TRUE(may_send(allowed(), kNow));
  for (const Denied& one : kAnyAttempt) {
    RequestState request = allowed();
    one.change(request);
    EXPECT_EQ(may_send(request, kNow).reason, one.reason) << name_of(one.reason);
  }
  RequestState spent = allowed();
  spent.retries_left = 0.5;
  EXPECT_EQ(may_send(spent, kNow).reason, Reason::kBudgetSpent);
  spent.attempts = 0;
  EXPECT_TRUE(may_send(spent, kNow)) << "a first attempt is no retry";
}

TEST(Guard, AHedgeIsAllowedBesideOneAttemptWhereAttemptsMayBeParallel) {
  RequestState request = allowed();
  request.in_flight = 1;
  EXPECT_EQ(may_hedge(request, kNow).reason, Reason::kAnotherOut);
  request.parallel = true;
  EXPECT_TRUE(may_hedge(request, kNow));
  request.in_flight = 2;
  EXPECT_EQ(may_hedge(request, kNow).reason, Reason::kAnotherOut);
}

TEST(Guard, AFinalAnswerIsGivenOnceAndARefusalOnlyIfARepeatDoesNoHarm) {
  RequestState request = allowed();
  request.may_have_run = true;
  request.refusal_is_safe = false;
  EXPECT_EQ(may_refuse(request).reason, Reason::kMayHaveRun);
  EXPECT_TRUE(may_fail(request) && may_forward(request));
  request.refusal_is_safe = true;
  EXPECT_TRUE(may_refuse(request));
  request.answered = true;
  for (const Verdict verdict : {may_refuse(request), may_fail(request), may_forward(request)}) {
    EXPECT_EQ(verdict.reason, Reason::kAnswered);
  }
}

TEST(Guard, ConnectionsAreClosedAndReusedOnlyIfNothingIsLost) {
  EXPECT_TRUE(may_close_client({}));
  EXPECT_EQ(may_close_client({.under_way = true}).reason, Reason::kRequestUnderWay);
  EXPECT_EQ(may_close_client({.unread = true}).reason, Reason::kInputUnread);
  EXPECT_EQ(may_close_client({.unsent = true}).reason, Reason::kOutputUnsent);
  EXPECT_TRUE(may_reuse({.idle = 9, .max_idle = 10}));
  EXPECT_EQ(may_reuse({.idle = 10, .max_idle = 10}).reason, Reason::kTooOld);
  EXPECT_EQ(may_reuse({.unread = true}).reason, Reason::kInputUnread);
  EXPECT_EQ(may_reuse({.address_current = false}).reason, Reason::kOtherAddress);
  EXPECT_EQ(may_reuse({.under_way = true}).reason, Reason::kRequestUnderWay);
  EXPECT_EQ(may_close_idle({.under_way = true}).reason, Reason::kRequestUnderWay);
}

TEST(Guard, AProcessIsReadyOnceItHasAListAndUntilItDrains) {
  EXPECT_TRUE(may_report_ready({}));
  EXPECT_EQ(may_report_ready({.held = true}).reason, Reason::kHeld);
  EXPECT_EQ(may_report_ready({.draining = true}).reason, Reason::kDraining);
  EXPECT_EQ(may_report_ready({.leaving = true}).reason, Reason::kDraining);
  EXPECT_EQ(may_report_ready({.list_known = false}).reason, Reason::kNoList);
  EXPECT_EQ(may_accept({.held = true}).reason, Reason::kHeld);
  EXPECT_TRUE(may_accept({.leaving = true})) << "who comes while it ends is answered";
}

}  // namespace
}  // namespace shorelead::guard
