// Settings of deployments that nobody has yet: whatever they are within the settings page, they are taken,
// and a node keeps the rules under them while backends, clients and lists do what chance has them do.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "crossings/settings_simulation.h"

namespace shorelead::node {
namespace {

RC_GTEST_PROP(Settings, WhateverTheyAreTheRulesHold, ()) {
  const auto drawn = *rc::gen::arbitrary<std::uint32_t>();
  for (std::uint64_t seed = 10ULL * drawn; seed < 10ULL * drawn + 10; ++seed) {
    Chance chance(seed);
    const Made first = made(chance);
    World world(seed, first);
    world.run(200);
    if (world.judge().broken().empty()) continue;
    RC_LOG() << "seed " << seed << ": " << first.text() << '\n';
    RC_FAIL(world.judge().broken().front());
  }
}

// The run above proves nothing where nothing is sent.
TEST(Settings, MostWorldsSendAndServe) {
  int sent = 0;
  int served = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Chance chance(seed);
    World world(seed, made(chance));
    world.run(300);
    sent += world.judge().sent();
    served += world.judge().served();
  }
  EXPECT_GT(sent, 60 * 100);
  EXPECT_GT(served, 60 * 30);
}

}  // namespace
}  // namespace shorelead::node
