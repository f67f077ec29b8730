// Properties of splits and of fallback pools.
#include "routing/plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <map>
#include <set>

namespace shorelead::routing {
namespace {

constexpr int kKeys = 4000;

std::string key(int n) { return "client-" + std::to_string(n); }

// Up to four pools whose shares are whole percentages that sum to 100.
Route gen_route() {
  Route route;
  int left = 100;
  const int pool_count = *rc::gen::inRange(2, 5);
  for (int n = 0; n < pool_count; ++n) {
    const int part = n + 1 == pool_count ? left : *rc::gen::inRange(0, left + 1);
    left -= part;
    route.weighted_pools.push_back({n, part / 100.0, "pool-" + std::to_string(n)});
  }
  return route;
}

// Each pool gets its share of keys within five standard deviations, whatever the order of pools in the split.
RC_GTEST_PROP(Split, GivesEachPoolItsShareWhateverTheOrder, ()) {
  const Route route = gen_route();
  Route reversed = route;
  std::reverse(reversed.weighted_pools.begin(), reversed.weighted_pools.end());
  std::map<int, int> keys_by_pool;
  for (int n = 0; n < kKeys; ++n) {
    const int pool = pool_for_key(route, key(n));
    RC_ASSERT(pool == pool_for_key(reversed, key(n)));
    ++keys_by_pool[pool];
  }
  for (const WeightedPool& weighted : route.weighted_pools) {
    const double spread = std::sqrt(kKeys * weighted.share * (1 - weighted.share));
    RC_ASSERT(std::abs(keys_by_pool[weighted.pool] - kKeys * weighted.share) <= 5 * spread);
  }
}

// Guards against clients changing between pools while a canary's share grows: keys may move to the growing
// pool and nowhere else.
RC_GTEST_PROP(Split, KeysMoveOnlyToTheGrowingPool, ()) {
  const Route before = gen_route();
  const std::size_t grows = *rc::gen::inRange<std::size_t>(0, before.weighted_pools.size());
  Route after = before;
  after.weighted_pools[grows].share +=
      *rc::gen::inRange(1, 100) / 100.0;  // scores depend on the ratio of shares only
  const int to = after.weighted_pools[grows].pool;
  for (int n = 0; n < kKeys / 4; ++n) {
    const int was = pool_for_key(before, key(n));
    const int is = pool_for_key(after, key(n));
    RC_ASSERT(is == was || is == to);
  }
}

// A pool keeps its keys when its number changes, as after a reload that inserts a pool before it.
TEST(Split, KeysFollowTheNameOfThePool) {
  Route route;
  route.weighted_pools = {{0, 0.9, "main"}, {1, 0.1, "canary"}};
  Route moved;
  moved.weighted_pools = {{3, 0.1, "canary"}, {5, 0.9, "main"}};
  for (int n = 0; n < kKeys; ++n) {
    EXPECT_EQ(pool_for_key(route, key(n)) == 0, pool_for_key(moved, key(n)) == 5) << n;
  }
}

// Returns the first ready pool of the fallback chain, or the pool itself if none is ready; ends for any
// fallbacks, cycles too.
RC_GTEST_PROP(Fallback, ReturnsTheFirstReadyPoolOfTheChain, ()) {
  const int pools = *rc::gen::inRange(1, 6);
  std::vector<int> fallbacks;
  for (int n = 0; n < pools; ++n) fallbacks.push_back(*rc::gen::inRange(-1, pools));
  std::set<int> ready;
  for (int n = 0; n < pools; ++n) {
    if (*rc::gen::inRange(0, 3) == 0) ready.insert(n);
  }
  const int from = *rc::gen::inRange(0, pools);
  const int to = fallback_pool(fallbacks, from, [&](int pool) { return ready.count(pool) > 0; });
  std::set<int> visited;
  int expected = from;
  for (int at = from; at >= 0 && visited.insert(at).second; at = fallbacks[static_cast<std::size_t>(at)]) {
    if (ready.count(at) == 0) continue;
    expected = at;
    break;
  }
  RC_ASSERT(to == expected);
}

}  // namespace
}  // namespace shorelead::routing
