// Whole runs of the simulated fleet (bench/plans): the limits that each scenario must meet, compared with a
// run without plans.
#include <gtest/gtest.h>

#include "sim.h"

namespace shorelead::plans::sim {
namespace {

struct Expected {
  const char* scenario;
  bool sheds;
  double worth;  // at least this multiple of the worth served without plans
  double first;  // share of the highest rank's requests served in time
};

class Plays : public testing::TestWithParam<Expected> {};

TEST_P(Plays, ShedsInOrderAndOnlyInAShortage) {
  const Expected& expected = GetParam();
  const auto all = scenarios(1);
  const Scenario& scenario = named(all, expected.scenario);
  const Result none = play(scenario, Way::kNone, 1);
  const Result fleet = play(scenario, Way::kFleet, 1);
  EXPECT_GE(fleet.worth / fleet.worth_offered, expected.worth * none.worth / none.worth_offered);
  EXPECT_EQ(fleet.upside_down, 0);
  EXPECT_GT(fleet.windows, 1000);
  if (!expected.sheds) {
    EXPECT_EQ(fleet.changes, 0);
    EXPECT_EQ(fleet.shed, 0);
    return;
  }
  EXPECT_GT(fleet.shed, 0.2);
  EXPECT_LE(fleet.changes, 20);
  EXPECT_GE(fleet.ranks.front().served / fleet.ranks.front().offered, expected.first);
  EXPECT_LT(fleet.ranks.back().served / fleet.ranks.back().offered, 0.5);
}

INSTANTIATE_TEST_SUITE_P(
    All, Plays,
    testing::Values(
        Expected{"twice", true, 1, 0.9}, Expected{"twice, long queues at boxes", true, 1.5, 0.65},
        Expected{"half of the boxes die", true, 1, 0.9},
        Expected{"processes restart in a shortage", true, 1, 0.9},
        Expected{"processes restart in calm", false, 0.99, 0}, Expected{"stalls in calm", false, 0.99, 0},
        Expected{"stalls in a shortage", true, 1, 0.85}, Expected{"one liar in calm", false, 0.99, 0},
        Expected{"one liar denies a shortage", true, 1, 0.9}, Expected{"one hot process", false, 0.99, 0},
        Expected{"one bad zone", false, 0.98, 0}, Expected{"one bad pool", false, 0.98, 0},
        Expected{"calm with bursts", false, 0.99, 0}, Expected{"store away in a shortage", true, 1, 0.9}),
    [](const auto& info) {
      std::string name = info.param.scenario;
      for (char& c : name) c = std::isalnum(static_cast<unsigned char>(c)) ? c : '_';
      return name;
    });

}  // namespace
}  // namespace shorelead::plans::sim
