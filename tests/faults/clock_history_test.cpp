// Conversion of wall-clock timestamps after steps of the clock: random histories are compared with the true
// times.
#include "net/clock_history.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace shorelead::net {
namespace {

constexpr Millis kStart = 1'700'000'000'000;
constexpr Millis kObserveInterval = 50;
constexpr Millis kSlack = 250;  // a step may fall anywhere between two observations

// Without a step no timestamp changes, although the two clocks are not read at the same moment.
TEST(ClockHistory, WithoutAStepTimestampsAreUnchanged) {
  ClockHistory clock;
  for (Millis at = kStart; at < kStart + 60000; at += kObserveInterval) clock.observe(at, at + 0.4);
  EXPECT_EQ(clock.to_steady(kStart + 1234, kStart + 60000), kStart + 1234);
  EXPECT_EQ(clock.to_wall(kStart + 1234), kStart + 1234);
  EXPECT_EQ(clock.to_steady(kStart - 86'400'000, kStart), kStart - 86'400'000);
}

// A process started after a step back sees start times that lie ahead of its clock; they count as now.
TEST(ClockHistory, AFutureTimestampCountsAsNow) {
  ClockHistory clock;
  clock.observe(kStart, kStart);
  EXPECT_EQ(clock.to_steady(kStart + 3'600'000, kStart + 5), kStart + 5);
}

// No event counts as older than it is, nor as younger than the steps back allow.
RC_GTEST_PROP(ClockHistory, NoEventIsTakenForOlderThanItIs, ()) {
  ClockHistory clock;
  Millis offset = 0;
  Millis now = kStart;
  struct Event {
    Millis at;
    Millis label;
  };
  std::vector<Event> events;
  const int steps = *rc::gen::inRange(0, 5);
  Millis back = 0;
  for (int n = 0; n <= steps; ++n) {
    for (int turns = *rc::gen::inRange(1, 200); turns > 0; --turns) {
      now += kObserveInterval;
      clock.observe(now, now + offset);
      if (*rc::gen::inRange(0, 20) == 0) events.push_back({now, now + offset});
    }
    const Millis by = *rc::gen::element(-3'600'000.0, -30000.0, -1500.0, 1500.0, 30000.0, 3'600'000.0);
    if (n < steps) offset += by;
    if (n < steps) back += std::max(0.0, -by);
  }
  for (const Event& event : events) {
    const Millis found = clock.to_steady(event.label, now);
    RC_ASSERT(found >= event.at - kSlack);
    RC_ASSERT(found <= std::min(now + 1000, event.at + back + kSlack));
    RC_ASSERT(clock.to_wall(event.at) == event.label);
  }
}

}  // namespace
}  // namespace shorelead::net
