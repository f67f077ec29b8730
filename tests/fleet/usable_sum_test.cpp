// How much of a rate is admitted when requests arrive at random, with their own bursts.
#include <gtest/gtest.h>

#include <cmath>

#include "poisson_fleet.h"

namespace shorelead::fleet {
namespace {

struct Case {
  int processes;
  double burst;  // at a rate of 60 per second
  double asked;  // demand, as a fraction of the whole
  bool skewed;   // nine tenths of the demand at a tenth of the processes
  double least;  // required fraction of what could be admitted
  double plans;  // largest allowed number of plans per second
};

void PrintTo(const Case& c, std::ostream* out) {
  *out << c.processes << " processes, burst " << c.burst << ", " << c.asked << (c.skewed ? " skewed" : "");
}

class UsableSum : public testing::TestWithParam<Case> {};

TEST_P(UsableSum, FromTwoSecondsAfterTheStart) {
  const Case& c = GetParam();
  Budget budget;
  budget.name = "rate";
  budget.whole = 60;
  budget.burst = c.burst;
  const int hot = c.skewed ? std::max(1, c.processes / 10) : 0;
  std::vector<double> demand(static_cast<std::size_t>(c.processes), 60 * c.asked / c.processes);
  for (int n = 0; c.skewed && n < c.processes; ++n) {
    demand[static_cast<std::size_t>(n)] = 60 * c.asked * (n < hot ? 0.9 / hot : 0.1 / (c.processes - hot));
  }
  double least = 2;
  int plans = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    PoissonFleet fleet(budget, demand, seed);
    fleet.run(2000);
    const int before = fleet.plans();
    least = std::min(least, fleet.run(60000) / (60 * 60 * std::min(1.0, c.asked)));
    plans = std::max(plans, fleet.plans() - before);
  }
  RecordProperty("share", std::to_string(least));
  EXPECT_GE(least, c.least);
  EXPECT_LE(plans / 60.0, c.plans);
}

// Four tokens per process are enough; with two some rate is lost; with fewer more is lost, since the
// processes cannot save tokens together (docs/budgets.md).
INSTANTIATE_TEST_SUITE_P(
    Calm, UsableSum,
    testing::Values(Case{10, 40, 0.8, false, 0.90, 2}, Case{10, 40, 1.2, false, 0.90, 0.5},
                    Case{10, 40, 2.4, false, 0.98, 0.2}, Case{20, 80, 1.2, false, 0.90, 2},
                    Case{10, 20, 2.4, false, 0.93, 0.2}, Case{8, 20, 2.4, false, 0.93, 0.2},
                    Case{8, 10, 2.4, false, 0.74, 0.2}, Case{20, 10, 4, false, 0.55, 1}));
INSTANTIATE_TEST_SUITE_P(Skewed, UsableSum,
                         testing::Values(Case{10, 40, 1.2, true, 0.90, 2}, Case{10, 40, 2.4, true, 0.88, 2},
                                         Case{20, 80, 2.4, true, 0.88, 2.5}, Case{10, 40, 4, true, 0.86, 2}));

}  // namespace
}  // namespace shorelead::fleet
