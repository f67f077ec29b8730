// The deadline of responses that are forwarded while they are received, in simulated time: one that has
// stopped ends in the half second after its request's deadline, and none that is long is cut off while it
// comes.
#include "limits/response_deadline.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace shorelead::limits {
namespace {

constexpr Millis kDue = 600;
constexpr Millis kAnswerDue = kDue + 500;  // by the protocol, for a body of up to kLongBody
constexpr Millis kHeldUp = 150;            // for which a process may not run

TEST(ResponseDeadline, OneThatStopsBeforeItsDeadlineEndsInTime) {
  for (const Millis begun : {1.0, 300.0, 420.0, 599.0}) {
    for (const std::size_t bytes : {0, 1, 17, 4096, 65536}) {
      ResponseDeadline deadline(kDue, std::nullopt, begun);
      deadline.received(bytes, begun);
      EXPECT_GT(deadline.expires_at(), kDue) << begun << " " << bytes;
      EXPECT_LE(deadline.expires_at() + kHeldUp, kAnswerDue) << begun << " " << bytes;
    }
  }
}

// Its head alone, whatever length that states, is no part of the body.
TEST(ResponseDeadline, AHeadAloneEndsInTime) {
  for (const auto& length : {std::optional<std::uint64_t>(), std::optional<std::uint64_t>(3000000000)}) {
    EXPECT_LE(ResponseDeadline(kDue, length, 10).expires_at() + kHeldUp, kAnswerDue);
  }
}

TEST(ResponseDeadline, ATrickleEndsInTime) {
  for (const Millis pause : {1.0, 20.0, 100.0, 340.0}) {
    ResponseDeadline deadline(kDue, std::nullopt, 420);
    Millis now = 420;
    for (; now < deadline.expires_at(); now += pause) deadline.received(1, now);
    EXPECT_LE(deadline.expires_at() + kHeldUp, kAnswerDue) << pause;
  }
}

// A response that stops later, when it was long or still coming at the pace of a long one, ends as well.
TEST(ResponseDeadline, OneThatStopsAfterItsDeadlineEnds) {
  ResponseDeadline at_pace(kDue, std::nullopt, 420);
  for (Millis now = 420; now <= 1000; now += 10) at_pace.received(640, now);
  EXPECT_LE(at_pace.expires_at(), 1000 + kMaxPause);
  ResponseDeadline of_length(kDue, kLongBody + 1, 10);
  of_length.received(17, 100);
  EXPECT_LE(of_length.expires_at(), 100 + kMaxPauseOfLong);
  ResponseDeadline beyond(kDue, std::nullopt, 10);
  beyond.received(kLongBody + 1, 2000);
  EXPECT_LE(beyond.expires_at(), 2000 + kMaxPauseOfLong);
}

struct Part {
  Millis pause = 0;  // before it
  std::size_t bytes = 0;
};

bool stays(ResponseDeadline& deadline, Millis begun, const std::vector<Part>& parts) {
  Millis now = begun;
  for (const Part& part : parts) {
    now += part.pause;
    if (now >= deadline.expires_at()) return false;
    deadline.received(part.bytes, now);
  }
  return true;
}

TEST(ResponseDeadline, ALongResponseOfAStatedLengthIsNotCutOffWhileItComes) {
  rc::check([] {
    const Millis begun = *rc::gen::inRange(0, 600);
    std::vector<Part> parts = {{0, 1}};
    const int count = *rc::gen::inRange(1, 60);
    for (int n = 0; n < count; ++n)
      parts.push_back(
          {1.0 * *rc::gen::inRange(0, 2100), static_cast<std::size_t>(*rc::gen::inRange(1, 30000))});
    ResponseDeadline deadline(kDue, 32U << 20, begun);
    RC_ASSERT(stays(deadline, begun, parts));
  });
}

// Without a length: what is long already may pause, and what may become long may come at a third of the pace
// of slow peers, and stand still for 310 ms now and then.
TEST(ResponseDeadline, ALongResponseOfUnknownLengthIsNotCutOffWhileItComes) {
  rc::check([] {
    const Millis begun = *rc::gen::inRange(0, 600);
    std::vector<Part> parts = {{0, kLongBody + 1}};
    const int count = *rc::gen::inRange(1, 60);
    for (int n = 0; n < count; ++n) parts.push_back({1.0 * *rc::gen::inRange(0, 2100), 1});
    ResponseDeadline deadline(kDue, std::nullopt, begun);
    RC_ASSERT(stays(deadline, begun, parts));
  });
  for (const std::size_t bytes : {200, 640}) {
    for (const Millis begun : {0.0, 420.0, 595.0}) {
      std::vector<Part> parts = {{0, bytes}};
      for (int n = 0; n < 600; ++n) parts.push_back({n % 62 == 61 ? 310.0 : 10.0, bytes});
      ResponseDeadline deadline(kDue, std::nullopt, begun);
      EXPECT_TRUE(stays(deadline, begun, parts)) << begun << " " << bytes;
    }
  }
}

TEST(ResponseDeadline, NothingEndsBeforeTheRequestsDeadline) {
  rc::check([] {
    const Millis due = *rc::gen::inRange(1, 3000);
    const Millis begun = *rc::gen::inRange(0, static_cast<int>(due));
    ResponseDeadline deadline(due, std::nullopt, begun);
    deadline.received(static_cast<std::size_t>(*rc::gen::inRange(0, 100000)), begun);
    RC_ASSERT(deadline.expires_at() > due);
  });
}

}  // namespace
}  // namespace shorelead::limits
