#define XXH_INLINE_ALL
#include "subset/partition.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace shorelead::subset {
namespace {

// Shards larger or smaller than the target by up to this factor stay. Above sqrt(2), as a power of two can be
// that far off the target from the start.
constexpr double kHysteresis = 1.7;
// Then the shard with the least capacity is taken; with slack 0.1 that happens to one backend in 10^6.
constexpr int kMaxDraws = 64;

std::uint64_t mix(std::uint64_t key, std::uint64_t round, std::uint64_t draw) {
  const std::uint64_t words[3] = {key, round, draw};
  return XXH3_64bits(words, sizeof words);
}

}  // namespace

std::uint64_t hash_of(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

int shard_count(std::size_t backends, const Options& options, const Place& place, int previous) {
  if (backends <= static_cast<std::size_t>(std::max(0, options.divide_above))) return 1;
  const double wanted = static_cast<double>(backends) / std::max(1, options.target);
  int max_shards = 1 << 30;
  if (place.nodes > 0) max_shards = std::max(1, place.nodes / std::max(1, options.min_holders));
  const bool fits = previous > 0 && previous <= max_shards && wanted <= previous * kHysteresis &&
                    wanted * kHysteresis >= previous;
  if (fits) return previous;
  int shards = 1;
  while (shards * 2 <= max_shards && shards * std::sqrt(2.0) <= wanted) shards *= 2;
  return shards;
}

ShardAssignment assignment_of(const Place& place, int shards) {
  if (place.index) {
    return {*place.index % shards, static_cast<std::uint64_t>(*place.index / shards)};
  }
  // A random shard of a random round, so that nodes without an index share a shard only by chance.
  const std::uint64_t drawn = mix(place.name, 0x6c6f74, 0);
  return {static_cast<int>(drawn % static_cast<std::uint64_t>(shards)), drawn | (1ULL << 63)};
}

double holders(const Place& place, int shards) {
  if (shards <= 1 || place.nodes <= 0) return 0;
  const double mean = static_cast<double>(place.nodes) / shards;
  return place.index ? std::ceil(mean) : mean + 2 * std::sqrt(mean);
}

std::vector<int> assign_to_shards(std::span<const Backend> backends, int shards, std::uint64_t round,
                                  double slack) {
  std::vector<int> shard_of(backends.size(), 0);
  if (shards <= 1) return shard_of;
  // Backends are assigned in the order of their hashes, so that the order of the list does not matter.
  std::vector<std::pair<std::uint64_t, std::uint32_t>> order;
  order.reserve(backends.size());
  int zones = 0;
  double total = 0;
  double largest = 0;
  for (std::uint32_t n = 0; n < backends.size(); ++n) {
    order.emplace_back(mix(backends[n].key, round, 0), n);
    zones = std::max(zones, backends[n].zone + 1);
    total += backends[n].size;
    largest = std::max(largest, backends[n].size);
  }
  std::sort(order.begin(), order.end());
  const auto columns = static_cast<std::size_t>(shards);
  std::vector<double> of_zone(static_cast<std::size_t>(zones), 0);
  for (const Backend& backend : backends) of_zone[static_cast<std::size_t>(backend.zone)] += backend.size;
  // A shard may always take one backend of a zone; otherwise a zone of few backends would fit in none.
  const double max_size = (1 + slack) * total / shards + largest * (1 - 1e-9);
  std::vector<double> max_of_zone;
  for (const double size : of_zone) max_of_zone.push_back((1 + slack) * size / shards + largest * (1 - 1e-9));
  std::vector<double> held(columns, 0);
  std::vector<double> held_of_zone(columns * static_cast<std::size_t>(zones), 0);
  for (const auto& [hash, n] : order) {
    const Backend& backend = backends[n];
    const auto zone = static_cast<std::size_t>(backend.zone);
    const auto fits = [&](std::size_t shard) {
      return held[shard] + backend.size <= max_size &&
             held_of_zone[zone * columns + shard] + backend.size <= max_of_zone[zone];
    };
    std::size_t shard = 0;
    int tries = 0;
    do {
      // Uses the upper bits, so that each shard's first draws split in two when the number of shards doubles.
      shard = static_cast<std::size_t>(
          (mix(backend.key, round, static_cast<std::uint64_t>(tries) + 1) >> 32) * columns >> 32);
    } while (!fits(shard) && ++tries < kMaxDraws);
    if (tries == kMaxDraws) {
      shard = static_cast<std::size_t>(std::min_element(held.begin(), held.end()) - held.begin());
    }
    held[shard] += backend.size;
    held_of_zone[zone * columns + shard] += backend.size;
    shard_of[n] = static_cast<int>(shard);
  }
  return shard_of;
}

}  // namespace shorelead::subset
