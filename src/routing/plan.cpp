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

int arm_of(const Route& route, std::string_view key) {
  if (route.arms.empty()) return 0;
  if (route.arms.size() == 1) return route.arms.front().pool;
  const Arm* best = nullptr;
  double best_score = 0;
  for (const Arm& arm : route.arms) {
    if (arm.share <= 0) continue;
    const double score = -arm.share / std::log(uniform_hash(arm.name, key));
    if (best != nullptr && score <= best_score) continue;
    best = &arm;
    best_score = score;
  }
  return best == nullptr ? route.arms.front().pool : best->pool;
}

int standing_in(const std::vector<int>& fallbacks, int pool, const std::function<bool(int)>& ready) {
  int at = pool;
  for (std::size_t steps = 0; at >= 0 && steps <= fallbacks.size(); ++steps) {
    if (ready(at)) return at;
    at = static_cast<std::size_t>(at) < fallbacks.size() ? fallbacks[static_cast<std::size_t>(at)] : -1;
  }
  return pool;
}

}  // namespace shorelead::routing
