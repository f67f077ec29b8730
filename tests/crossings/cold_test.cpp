// The rule "a cold backend is not pushed over" for the sum of all processes, in simulated time with their
// real policies: all use the same cold backends at once, and no others are left. Beyond N, the load a backend
// may get then, only 2 root N + 2 counts as chance. The seeds are fixed, so the result is the same each time.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "cold_fleet.h"

namespace shorelead::cold {
namespace {

constexpr int kSeeds = 8;       // runs with 20 or 30 processes
constexpr int kLargeSeeds = 1;  // runs with hundreds of processes, which are slow under sanitizers

// A case with this N when the backend starts.
Case with(int processes, double n) {
  Case c;
  c.processes = processes;
  c.service = c.fall_multiple * c.cold_share * c.fall / n;
  return c;
}

class Crossings : public testing::TestWithParam<int> {
 protected:
  // Sizes for which a process's share is below one request, and above.
  void expect_none_falls(const std::string& what, const std::function<void(Case&)>& change,
                         const std::vector<double>& sizes = {9, 45, 400}) {
    for (const double n : sizes) {
      Case c = with(GetParam(), n);
      change(c);
      const Worst worst = play(c, GetParam() < 100 ? kSeeds : kLargeSeeds);
      EXPECT_EQ(worst.falls, 0) << what << ", N " << n << ": " << worst.over_n << " of N, "
                                << worst.over_bound << " of what it bears, in the worst " << c.fall << " ms";
      EXPECT_GT(worst.sends, 0) << what << ", N " << n;
    }
  }
};

TEST_P(Crossings, BurstWhileColdBackendsJoinOrReturn) {
  expect_none_falls("one", [](Case& c) { c.burst = 10; });
  expect_none_falls("five", [](Case& c) { c.burst = 3, c.cold = 5; });
  expect_none_falls("back", [](Case& c) { c.burst = 3, c.returns = true, c.told_within = 500; });
}

// Slow-start slots that stayed open for long at processes with little traffic were all open when a burst
// came: 2.2 times N at 300 processes and 1.9 times at 20.
TEST_P(Crossings, BurstAfterLittleTrafficPerProcess) {
  expect_none_falls("half a request a second", [](Case& c) { c.rate = 0.5, c.burst = 20; });
}

// A new process took its first moment for a second with one request: its slots were open some ten times too
// long, and it sent its share twice.
TEST_P(Crossings, ProcessesReplacedOrJoiningDuringABurst) {
  const double second = 1000.0 / GetParam();
  expect_none_falls("in turn", [=](Case& c) { c.burst = 3, c.replace_every = 4 * second; });
  expect_none_falls("beside", [=](Case& c) { c.burst = 3, c.replace_every = 4 * second, c.beside = true; });
  expect_none_falls("at once", [=](Case& c) { c.burst = 3, c.replace_every = second, c.beside = true; });
  expect_none_falls("all new", [](Case& c) { c.burst = 3, c.all_new = true; });
}

TEST_P(Crossings, WrongOrChangingCountOfProcesses) {
  expect_none_falls("twice as many join", [](Case& c) { c.burst = 3, c.joiners = c.stated = c.processes; });
  expect_none_falls("half are there", [](Case& c) { c.burst = 3, c.stated = 2 * c.processes; });
  expect_none_falls("told as they join", [](Case& c) {
    c.burst = 3, c.joiners = c.stated = c.processes, c.restated = 2 * c.processes;
  });
}

// A share that started over each time the backend was listed as ready again: 2.5 times N.
TEST_P(Crossings, ColdBackendThatLeavesTheListAndReturns) {
  expect_none_falls("each 0.2 s", [](Case& c) { c.burst = 3, c.flap_every = 200; });
}

TEST_P(Crossings, OtherCustomersSettings) {
  expect_none_falls("N under one", [](Case& c) { c.burst = 3; }, {0.6});
  expect_none_falls("a long fall", [](Case& c) { c.burst = 3, c.fall = 5000, c.service *= 5; });
  expect_none_falls("a small share", [](Case& c) {
    c.burst = 3, c.fall_multiple = 6, c.cold_share = 0.1, c.service *= 2.0 / 3, c.aim = 12 * c.service;
  });
  expect_none_falls("work of other sizes, told",
                    [](Case& c) { c.burst = 3, c.work_spread = 1, c.hinted = true; });
}

INSTANTIATE_TEST_SUITE_P(Cold, Crossings, testing::Values(20, 30, 300),
                         [](const auto& info) { return "Of" + std::to_string(info.param); });

}  // namespace
}  // namespace shorelead::cold
