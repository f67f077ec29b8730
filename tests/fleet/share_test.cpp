// Shares of several processes under random histories. The granted parts add up to at most the whole at every
// moment, as plans ensure; then what is spent does too, over every window. Processes are suspended beyond
// their lease, rejoin as another incarnation, and are replaced by new ones.
#include "fleet/share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "share_world.h"

namespace shorelead::fleet {
namespace {

int count(const std::vector<Millis>& moments, Millis after, Millis to) {
  return static_cast<int>(std::upper_bound(moments.begin(), moments.end(), to) -
                          std::upper_bound(moments.begin(), moments.end(), after));
}

template <int reserve>
void rate_is_kept(const std::vector<Step>& steps) {
  World<Rate<reserve>> world;
  for (const Step& s : steps) world.step(s);
  const std::vector<Millis>& spent = world.spent;
  for (std::size_t first = 0; first < spent.size(); ++first) {
    for (std::size_t last = first; last < spent.size(); ++last) {
      const double rate = kRate * (0.9 + 0.02 * kProcesses * reserve) / 1000;
      const double most = rate * (spent[last] - spent[first]) + world.kWhole;
      RC_ASSERT(static_cast<double>(last - first + 1) <= most + 1e-6);
    }
  }
}

template <int reserve>
void at_once_is_kept(const std::vector<Step>& steps) {
  World<AtOnce<reserve>> world;
  for (const Step& s : steps) {
    world.step(s);
    int in_use = 0;
    for (const auto& a : world.shares) in_use += a.share.in_use();
    RC_ASSERT(in_use <= world.kWhole);
  }
}

template <int reserve>
void attempts_are_kept(const std::vector<Step>& steps) {
  World<Attempts<reserve>> world;
  for (const Step& s : steps) world.step(s);
  for (const Millis end : world.spent) {
    const double rest = kRatio * count(world.requests, end - 2 * kWindow, end);
    RC_ASSERT(count(world.spent, end - kWindow, end) <= world.kWhole + rest + 1e-6);
  }
}

RC_GTEST_PROP(Share, RateHoldsOverEveryWindow, ()) {
  const auto steps = *histories();
  rate_is_kept<0>(steps);
  rate_is_kept<1>(steps);
}

RC_GTEST_PROP(Share, ConcurrencyStaysWithinTheWhole, ()) {
  const auto steps = *histories();
  at_once_is_kept<0>(steps);
  at_once_is_kept<1>(steps);
}

RC_GTEST_PROP(Share, AttemptsHoldInEveryWindow, ()) {
  const auto steps = *histories();
  attempts_are_kept<0>(steps);
  attempts_are_kept<1>(steps);
}

// The properties above are upper bounds only; this checks that granted shares can be spent in full.
TEST(Share, GrantedSharesCanBeSpent) {
  RateShare rate({0, 0});
  rate.set({100, 10}, 0, 1e6);
  AttemptShare attempts(2, 0.1, 1000);
  attempts.set(1, 0);
  attempts.set(3, 0);
  AtOnceShare at_once(2, 500);
  at_once.set(5);
  RateShare fresh({1000, 5});
  EXPECT_EQ(fresh.spend(0, 0), Spent::kReserve);  // a predecessor may just have spent it
  int spent = 0;
  for (Millis now = 0; now <= 10000; now += 5) spent += rate.spend(now, 1e6) == Spent::kYes;
  EXPECT_NEAR(spent, 1000, 1);
  const auto drain = [](auto& share, Millis now, Millis valid) {
    int n = 0;
    while (share.spend(now, valid) == Spent::kYes) ++n;
    return n;
  };
  EXPECT_EQ(drain(rate, 20000, 1e6), 10);
  EXPECT_EQ(drain(attempts, 999, 1e6), 0);   // the window since the raise has not passed
  EXPECT_EQ(drain(attempts, 1001, 1e6), 5);  // 3 and the reserve
  for (int n = 0; n < 40; ++n) attempts.taken(1500);
  EXPECT_EQ(drain(attempts, 1600, 1e6), 4);  // a tenth of the requests
  EXPECT_EQ(drain(attempts, 2501, 1e6), 1);  // those of 1001 have left the window, those of 1600 have not
  EXPECT_EQ(drain(attempts, 9000, 100), 2);  // without a plan
  EXPECT_EQ(drain(at_once, 0, 1e6), 5);
  EXPECT_EQ(drain(at_once, 500, 1e6), 2);
  EXPECT_EQ(at_once.beyond_reserve(500), 5);
  at_once.set(1);
  for (int n = 0; n < 4; ++n) at_once.end();
  EXPECT_EQ(at_once.spend(600, 1e6), Spent::kShare);
  EXPECT_EQ(at_once.beyond_reserve(600), 1);
  at_once.end();
  EXPECT_EQ(at_once.spend(600, 600), Spent::kReserve);
  EXPECT_EQ(at_once.spend(600, 601), Spent::kYes);
}

}  // namespace
}  // namespace shorelead::fleet
