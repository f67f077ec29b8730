#include "routing/plan.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>

namespace shorelead::routing {
namespace {

// Hashes a key and a pool to a number that is uniform over (0, 1).
double uniform_hash(const std::string& pool, std::string_view key) {
  const XXH64_hash_t bits =
      XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(pool.data(), pool.size()));
  return (static_cast<double>(bits >> 11) + 0.5) * 0x1.0p-53;
}

}  // namespace

int pool_for_key(const Route& route, std::string_view key) {
  if (route.weighted_pools.empty()) return 0;
  if (route.weighted_pools.size() == 1) return route.weighted_pools.front().pool;
  const WeightedPool* best = nullptr;
  double best_score = 0;
  for (const WeightedPool& weighted : route.weighted_pools) {
    if (weighted.share <= 0) continue;
    const double score = -weighted.share / std::log(uniform_hash(weighted.name, key));
    if (best != nullptr && score <= best_score) continue;
    best = &weighted;
    best_score = score;
  }
  return best == nullptr ? route.weighted_pools.front().pool : best->pool;
}

int fallback_pool(const std::vector<int>& fallbacks, int pool, const std::function<bool(int)>& ready) {
  int at = pool;
  for (std::size_t steps = 0; at >= 0 && steps <= fallbacks.size(); ++steps) {
    if (ready(at)) return at;
    at = static_cast<std::size_t>(at) < fallbacks.size() ? fallbacks[static_cast<std::size_t>(at)] : -1;
  }
  return pool;
}

}  // namespace shorelead::routing
