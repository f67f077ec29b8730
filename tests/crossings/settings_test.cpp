// Property test over random valid settings: the node accepts them and keeps the rules on retries, deadlines
// and answers, whatever backends, clients and lists do.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "crossings/settings_simulation.h"

namespace shorelead::node {
namespace {

RC_GTEST_PROP(Settings, RequestRulesHoldUnderAnyValidSettings, ()) {
  const auto base_seed = *rc::gen::arbitrary<std::uint32_t>();
  for (std::uint64_t seed = 10ULL * base_seed; seed < 10ULL * base_seed + 10; ++seed) {
    RandomSource random(seed);
    const RandomSettings settings = random_settings(random);
    Simulation simulation(seed, settings);
    simulation.run(200);
    if (simulation.checker().violations().empty()) continue;
    RC_LOG() << "seed " << seed << ": " << settings.text() << '\n';
    RC_FAIL(simulation.checker().violations().front());
  }
}

// Guards against a simulation that sends nothing, with which the test above would always pass.
TEST(Settings, SimulationsSendAndServeRequests) {
  int sent = 0;
  int served = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    RandomSource random(seed);
    Simulation simulation(seed, random_settings(random));
    simulation.run(300);
    sent += simulation.checker().sent();
    served += simulation.checker().served();
  }
  EXPECT_GT(sent, 60 * 100);
  EXPECT_GT(served, 60 * 30);
}

}  // namespace
}  // namespace shorelead::node
