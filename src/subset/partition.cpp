#define XXH_INLINE_ALL
#include "subset/partition.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace shorelead::subset {
namespace {

constexpr double kStays =
    1.7;  // lots this much off the target stay as they are; above sqrt(2), or they would not
constexpr int kDraws =
    64;  // then the lot with the most room is taken: with slack 0.1 one backend in 10^6 gets there

std::uint64_t mix(std::uint64_t key, std::uint64_t round, std::uint64_t draw) {
  const std::uint64_t words[3] = {key, round, draw};
  return XXH3_64bits(words, sizeof words);
}

}  // namespace

std::uint64_t hash_of(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

int lots_of(std::size_t backends, const Options& options, const Place& place, int before) {
  if (backends <= static_cast<std::size_t>(std::max(0, options.whole_up_to))) return 1;
  const double wanted = static_cast<double>(backends) / std::max(1, options.target);
  int most = 1 << 30;
  if (place.nodes > 0) most = std::max(1, place.nodes / std::max(1, options.least_holders));
  const bool fits = before > 0 && before <= most && wanted <= before * kStays && wanted * kStays >= before;
  if (fits) return before;
  int lots = 1;
  while (lots * 2 <= most && lots * std::sqrt(2.0) <= wanted) lots *= 2;
  return lots;
}

Ticket ticket_of(const Place& place, int lots) {
  if (place.index) {
    return {*place.index % lots, static_cast<std::uint64_t>(*place.index / lots)};
  }
  // Any lot of any round: nodes that do not know their index meet in a lot only by chance.
  const std::uint64_t drawn = mix(place.name, 0x6c6f74, 0);
  return {static_cast<int>(drawn % static_cast<std::uint64_t>(lots)), drawn | (1ULL << 63)};
}

double holders(const Place& place, int lots) {
  if (lots <= 1 || place.nodes <= 0) return 0;
  const double mean = static_cast<double>(place.nodes) / lots;
  return place.index ? std::ceil(mean) : mean + 2 * std::sqrt(mean);
}

std::vector<int> draw(std::span<const Backend> backends, int lots, std::uint64_t round, double slack) {
  std::vector<int> lot_of(backends.size(), 0);
  if (lots <= 1) return lot_of;
  // Who draws first is told by hash, not by place in the list, or order would matter.
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
  const auto columns = static_cast<std::size_t>(lots);
  std::vector<double> of_zone(static_cast<std::size_t>(zones), 0);
  for (const Backend& backend : backends) of_zone[static_cast<std::size_t>(backend.zone)] += backend.size;
  // A lot may always take one backend of its zone, or a zone of few backends would find no room at all.
  const double cap = (1 + slack) * total / lots + largest * (1 - 1e-9);
  std::vector<double> zone_cap;
  for (const double size : of_zone) zone_cap.push_back((1 + slack) * size / lots + largest * (1 - 1e-9));
  std::vector<double> held(columns, 0);
  std::vector<double> held_of_zone(columns * static_cast<std::size_t>(zones), 0);
  for (const auto& [first, n] : order) {
    const Backend& backend = backends[n];
    const auto zone = static_cast<std::size_t>(backend.zone);
    const auto room = [&](std::size_t lot) {
      return held[lot] + backend.size <= cap &&
             held_of_zone[zone * columns + lot] + backend.size <= zone_cap[zone];
    };
    std::size_t lot = 0;
    int tries = 0;
    do {
      // The upper bits: where the number of lots doubles, each lot's first draws split in two.
      lot = static_cast<std::size_t>(
          (mix(backend.key, round, static_cast<std::uint64_t>(tries) + 1) >> 32) * columns >> 32);
    } while (!room(lot) && ++tries < kDraws);
    if (tries == kDraws) {
      lot = static_cast<std::size_t>(std::min_element(held.begin(), held.end()) - held.begin());
    }
    held[lot] += backend.size;
    held_of_zone[zone * columns + lot] += backend.size;
    lot_of[n] = static_cast<int>(lot);
  }
  return lot_of;
}

}  // namespace shorelead::subset
