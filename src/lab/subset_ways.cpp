#include "lab/subset_ways.h"

#include <algorithm>

namespace shorelead::lab {
namespace {

using subset::Backend;
using subset::hash_of;
using Fleet = Backends;

std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
  std::uint64_t z = a * 0x9e3779b97f4a7c15ULL ^ (b + 0x632be59bd9b4e019ULL) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

Members sorted(Members members) {
  std::sort(members.begin(), members.end());
  return members;
}

// The `size` backends with the least rank.
Members least(const Fleet& fleet, int size, const std::function<std::uint64_t(const Backend&)>& rank) {
  std::vector<std::pair<std::uint64_t, std::uint64_t>> ranked;
  ranked.reserve(fleet.size());
  for (const Backend& backend : fleet) ranked.emplace_back(rank(backend), backend.key);
  const auto end =
      ranked.begin() + std::min<std::ptrdiff_t>(size, static_cast<std::ptrdiff_t>(ranked.size()));
  std::nth_element(ranked.begin(), end - 1, ranked.end());
  Members members;
  for (auto it = ranked.begin(); it != end; ++it) members.push_back(it->second);
  return sorted(std::move(members));
}

// Each node draws for itself, and draws anew whenever the list changes.
std::vector<Members> by_chance(const Fleet& fleet, int nodes, int size) {
  std::vector<Members> all;
  for (int node = 0; node < nodes; ++node) {
    const std::uint64_t seed = mix(static_cast<std::uint64_t>(node), fleet.size());
    all.push_back(least(fleet, size, [seed](const Backend& backend) { return mix(seed, backend.key); }));
  }
  return all;
}

std::vector<Members> rendezvous(const Fleet& fleet, int nodes, int size) {
  std::vector<Members> all;
  for (int node = 0; node < nodes; ++node) {
    all.push_back(least(fleet, size, [node](const Backend& backend) {
      return mix(static_cast<std::uint64_t>(node), backend.key);
    }));
  }
  return all;
}

std::vector<Members> slices(const Fleet& fleet, int nodes, int size) {
  const int shards = std::max(1, static_cast<int>(fleet.size()) / size);
  std::vector<Members> all;
  std::vector<std::uint64_t> keys;
  for (int node = 0; node < nodes; ++node) {
    if (node % shards == 0) {
      const auto round = static_cast<std::uint64_t>(node / shards);
      keys.clear();
      for (const Backend& backend : fleet) keys.push_back(backend.key);
      std::sort(keys.begin(), keys.end(),
                [round](std::uint64_t a, std::uint64_t b) { return mix(round, a) < mix(round, b); });
    }
    const auto from = keys.begin() + (node % shards) * size;
    all.push_back(sorted({from, from + size}));
  }
  return all;
}

// Node i of N begins at i/N of a ring on which the backends stand evenly, and takes the next `size`.
std::vector<Members> aperture(const Fleet& fleet, int nodes, int size) {
  Members ring;
  for (const Backend& backend : fleet) ring.push_back(backend.key);
  std::sort(ring.begin(), ring.end(), [](std::uint64_t a, std::uint64_t b) { return mix(7, a) < mix(7, b); });
  std::vector<Members> all;
  for (int node = 0; node < nodes; ++node) {
    const auto from =
        static_cast<std::size_t>(static_cast<double>(node) / nodes * static_cast<double>(ring.size()));
    Members members;
    for (int n = 0; n < size && n < static_cast<int>(ring.size()); ++n) {
      members.push_back(ring[(from + static_cast<std::size_t>(n)) % ring.size()]);
    }
    all.push_back(sorted(std::move(members)));
  }
  return all;
}

std::vector<Members> shards(const Fleet& fleet, int nodes, int size, double slack, bool indexed) {
  using namespace subset;
  Options options;
  options.target = size;
  options.slack = slack;
  std::vector<Members> all(static_cast<std::size_t>(nodes));
  const auto place = [nodes, indexed](int node) {
    Place p;
    p.name = hash_of("node-" + std::to_string(node));
    p.nodes = nodes;
    if (indexed) p.index = node;
    return p;
  };
  const int count = shard_count(fleet.size(), options, place(0), 0);
  std::uint64_t drawn_round = ~0ULL;
  std::vector<int> shard_of;
  for (int node = 0; node < nodes; ++node) {
    const ShardAssignment assignment = assignment_of(place(node), count);
    if (assignment.round != drawn_round)
      shard_of = assign_to_shards(fleet, count, drawn_round = assignment.round, slack);
    for (std::size_t n = 0; n < fleet.size(); ++n) {
      if (shard_of[n] == assignment.shard) all[static_cast<std::size_t>(node)].push_back(fleet[n].key);
    }
    std::sort(all[static_cast<std::size_t>(node)].begin(), all[static_cast<std::size_t>(node)].end());
  }
  return all;
}

}  // namespace

const std::vector<std::pair<std::string, Way>>& subset_ways() {
  static const std::vector<std::pair<std::string, Way>> ways{
      {"random", by_chance},
      {"rendezvous", rendezvous},
      {"shuffled slices", slices},
      {"ring aperture", aperture},
      {"lots, slack 0.1", [](const Fleet& f, int n, int k) { return shards(f, n, k, 0.1, true); }},
      {"lots, slack 0.25", [](const Fleet& f, int n, int k) { return shards(f, n, k, 0.25, true); }},
      {"lots, slack 0.5", [](const Fleet& f, int n, int k) { return shards(f, n, k, 0.5, true); }},
      {"lots 0.25, no index", [](const Fleet& f, int n, int k) { return shards(f, n, k, 0.25, false); }},
  };
  return ways;
}

}  // namespace shorelead::lab
