// What processes made of what they share, worked out by hand; the keys that boxes remember and clients draw.
#include "lab/together.h"

#include <gtest/gtest.h>

#include <cmath>

#include "lab/draw.h"
#include "lab/fleet_records.h"
#include "lab/key_memory.h"

namespace shorelead::lab {
namespace {

TEST(TogetherFigures, CountOnlySecondsInWhichABudgetBinds) {
  lab::Run run = empty_run();
  run.began = 1000;
  run.fleet.budgets = {{"rate", Spending::kRate, 10, 1, 0, 0, {{kCheck}, {}, -1}},
                       {"hands", Spending::kAtOnce, 2, 0, 0, 0, {{kLook}, {}, -1}}};
  // First second: 8 of 20 taken. Second: 12 wished for, not more than 1.2 times the whole. Third: all 15
  // refused.
  for (int n = 0; n < 20; ++n) ask(run, 1000 + 40 * n, n % 3, n < 8 ? 0 : -1);
  for (int n = 0; n < 12; ++n) ask(run, 2000 + 40 * n, n % 3, 0);
  for (int n = 0; n < 15; ++n) ask(run, 3000 + 40 * n, n % 3, -1);
  // At once, 20 ms each: 25 in the first second, in which one was refused; 10 in the second.
  for (int n = 0; n < 25; ++n) ask(run, 1000 + 30 * n, 0, 0, kLook);
  for (int n = 0; n < 10; ++n) ask(run, 2000 + 30 * n, 0, 0, kLook);
  ask(run, 1500, 1, -1, kLook);
  ask(run, 4150, 1, -1, kLook);  // not in a whole second
  const Together all = together(run);
  ASSERT_EQ(all.budgets.size(), 2U);
  EXPECT_EQ(all.budgets[0].seconds, 2);
  EXPECT_NEAR(all.budgets[0].mean, 0.4, 1e-9);
  EXPECT_NEAR(all.budgets[0].least, 0, 1e-9);
  EXPECT_EQ(all.budgets[1].seconds, 1);
  EXPECT_NEAR(all.budgets[1].mean, 0.25, 1e-9);
}

TEST(TogetherFigures, CountRanksByTheFirstRuleThatFits) {
  lab::Run run = empty_run();
  run.fleet.ranks = {{1, 0, {{}, {"gold"}, -1}}, {3, 0, {{}, {}, -1}}};
  ask(run, 100, 0, 0).tenant = std::string("gold");
  ask(run, 200, 0, 0).tenant = std::string("gold");
  run.asked.back().ended = 700;  // past its aim of 400
  ask(run, 300, 0, -1).tenant = std::string("gold");
  ask(run, 400, 0, 0).tenant = std::string("other");
  const Together all = together(run);
  EXPECT_EQ(all.ranks[0].offered, 3U);
  EXPECT_EQ(all.ranks[0].taken, 2U);
  EXPECT_EQ(all.ranks[0].in_aim, 1U);
  EXPECT_EQ(all.ranks[1].offered, 1U);
}

TEST(TogetherFigures, CountMovesAndTheTimeWithoutABox) {
  lab::Run run = empty_run();
  KeyRule rule;
  rule.name = "baskets";
  run.fleet.keys = {rule};
  const auto put = [&run](Millis at, int box, const char* key) {
    ask(run, at, 0, box).basket = std::string(key);
  };
  put(100, 0, "a"), put(200, 0, "a"), run.arrived.back().warm = true;
  put(300, -1, "a"), put(400, -1, "a"), put(500, 1, "a");
  put(50, -1, "b"), put(350, 2, "b"), put(400, 2, "b");  // it had none yet
  const KeyMoves keys = together(run).keys.at(0);
  EXPECT_EQ(keys.keys, 2U);
  EXPECT_EQ(keys.sends, 5U);
  EXPECT_EQ(keys.moves, 1U);
  EXPECT_NEAR(keys.longest_gap, 501 - 302, 1e-9);
  EXPECT_EQ(keys.met, 3U);
  EXPECT_EQ(keys.warm, 1U);
  EXPECT_NEAR(keys.fullest, 2.0 / (5.0 / 3), 1e-9);
}

TEST(KeyMemory, ForgetsWhatItMetLongestAgo) {
  KeyMemory memory(2);
  memory.meet("a"), memory.meet("b"), memory.meet("a"), memory.meet("c");
  EXPECT_TRUE(memory.knows("a"));
  EXPECT_FALSE(memory.knows("b"));
  EXPECT_TRUE(memory.knows("c"));
  KeyMemory none(0);
  none.meet("a");
  EXPECT_FALSE(none.knows("a"));
}

// The nth key's share is in proportion to n to the power of -skew: within five standard deviations.
TEST(Zipf, DrawsByItsLaw) {
  Draw draw(1, "test");
  const Zipf zipf(20, 0.7);
  std::vector<int> counts(20);
  constexpr int kDraws = 100000;
  for (int n = 0; n < kDraws; ++n) ++counts.at(static_cast<std::size_t>(zipf.draw(draw)));
  double sum = 0;
  for (int n = 1; n <= 20; ++n) sum += std::pow(n, -0.7);
  for (int n = 1; n <= 20; ++n) {
    const double share = std::pow(n, -0.7) / sum;
    const double wobble = 5 * std::sqrt(share * (1 - share) * kDraws);
    EXPECT_NEAR(counts[static_cast<std::size_t>(n - 1)], share * kDraws, wobble) << n;
  }
}

}  // namespace
}  // namespace shorelead::lab
