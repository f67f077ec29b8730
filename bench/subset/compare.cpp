// Ways of choosing subsets side by side: how evenly the boxes are held, and how many members change when
// boxes or nodes come and go. Baselines: random choice, rendezvous hashing (Thaler and Ravishankar 1998),
// deterministic subsetting by shuffled slices (Beyer et al. 2016, ch. 20), an aperture on a ring of evenly
// spaced boxes, and the lots of src/subset. Prints a table; draws nothing from the clock.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <iterator>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "subset/lots.h"

namespace {

using shorelead::subset::Box;
using shorelead::subset::hash_of;
using Members = std::vector<std::uint64_t>;  // keys, sorted
using Fleet = std::vector<Box>;

std::uint64_t mix(std::uint64_t a, std::uint64_t b) {
  std::uint64_t z = a * 0x9e3779b97f4a7c15ULL ^ (b + 0x632be59bd9b4e019ULL) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

// All nodes' subsets at once.
using Way = std::function<std::vector<Members>(const Fleet&, int nodes, int size)>;

Members sorted(Members members) {
  std::sort(members.begin(), members.end());
  return members;
}

// The `size` boxes with the least rank.
Members least(const Fleet& fleet, int size, const std::function<std::uint64_t(const Box&)>& rank) {
  std::vector<std::pair<std::uint64_t, std::uint64_t>> ranked;
  ranked.reserve(fleet.size());
  for (const Box& box : fleet) ranked.emplace_back(rank(box), box.key);
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
    all.push_back(least(fleet, size, [seed](const Box& box) { return mix(seed, box.key); }));
  }
  return all;
}

std::vector<Members> rendezvous(const Fleet& fleet, int nodes, int size) {
  std::vector<Members> all;
  for (int node = 0; node < nodes; ++node) {
    all.push_back(least(fleet, size,
                        [node](const Box& box) { return mix(static_cast<std::uint64_t>(node), box.key); }));
  }
  return all;
}

std::vector<Members> slices(const Fleet& fleet, int nodes, int size) {
  const int lots = std::max(1, static_cast<int>(fleet.size()) / size);
  std::vector<Members> all;
  std::vector<std::uint64_t> keys;
  for (int node = 0; node < nodes; ++node) {
    if (node % lots == 0) {
      const auto round = static_cast<std::uint64_t>(node / lots);
      keys.clear();
      for (const Box& box : fleet) keys.push_back(box.key);
      std::sort(keys.begin(), keys.end(),
                [round](std::uint64_t a, std::uint64_t b) { return mix(round, a) < mix(round, b); });
    }
    const auto from = keys.begin() + (node % lots) * size;
    all.push_back(sorted({from, from + size}));
  }
  return all;
}

// Node i of N begins at i/N of a ring on which the boxes stand evenly, and takes the next `size`.
std::vector<Members> aperture(const Fleet& fleet, int nodes, int size) {
  Members ring;
  for (const Box& box : fleet) ring.push_back(box.key);
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

std::vector<Members> lots(const Fleet& fleet, int nodes, int size, double slack, bool indexed) {
  using namespace shorelead::subset;
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
  const int count = lots_of(fleet.size(), options, place(0), 0);
  std::uint64_t drawn_round = ~0ULL;
  std::vector<int> lot_of;
  for (int node = 0; node < nodes; ++node) {
    const Ticket ticket = ticket_of(place(node), count);
    if (ticket.round != drawn_round) lot_of = draw(fleet, count, drawn_round = ticket.round, slack);
    for (std::size_t n = 0; n < fleet.size(); ++n) {
      if (lot_of[n] == ticket.lot) all[static_cast<std::size_t>(node)].push_back(fleet[n].key);
    }
    std::sort(all[static_cast<std::size_t>(node)].begin(), all[static_cast<std::size_t>(node)].end());
  }
  return all;
}

struct Evenness {
  double most = 0;  // load over the mean load
  double least = 0;
  double p99 = 0;
  int most_held = 0;
  int least_held = 0;
  double size = 0;
};

Evenness evenness(const Fleet& fleet, const std::vector<Members>& all) {
  std::map<std::uint64_t, std::pair<double, int>> load;
  for (const Box& box : fleet) load[box.key] = {0, 0};
  Evenness e;
  for (const Members& members : all) {
    for (const std::uint64_t key : members) {
      load[key].first += 1.0 / static_cast<double>(members.size());
      load[key].second += 1;
    }
    e.size += static_cast<double>(members.size()) / static_cast<double>(all.size());
  }
  std::vector<double> loads;
  const double mean = static_cast<double>(all.size()) / static_cast<double>(fleet.size());
  e.least_held = 1 << 30;
  for (const auto& [key, l] : load) {
    loads.push_back(l.first / mean);
    e.most_held = std::max(e.most_held, l.second);
    e.least_held = std::min(e.least_held, l.second);
  }
  std::sort(loads.begin(), loads.end());
  e.most = loads.back();
  e.least = loads.front();
  e.p99 = loads[loads.size() * 99 / 100];
  return e;
}

// Mean number of members that a node takes in anew.
double churn(const std::vector<Members>& before, const std::vector<Members>& after) {
  const std::size_t nodes = std::min(before.size(), after.size());
  double fresh = 0;
  for (std::size_t n = 0; n < nodes; ++n) {
    Members added;
    std::set_difference(after[n].begin(), after[n].end(), before[n].begin(), before[n].end(),
                        std::back_inserter(added));
    fresh += static_cast<double>(added.size());
  }
  return fresh / static_cast<double>(nodes);
}

Fleet make_fleet(int boxes, double most_in_one_zone) {
  Fleet fleet;
  for (int n = 0; n < boxes; ++n) {
    const int zone = n < boxes * most_in_one_zone ? 0 : 1 + n % 2;
    fleet.push_back({hash_of("box-" + std::to_string(n)), zone, 1});
  }
  return fleet;
}

}  // namespace

int main() {
  const std::vector<std::pair<std::string, Way>> ways{
      {"random", by_chance},
      {"rendezvous", rendezvous},
      {"shuffled slices", slices},
      {"ring aperture", aperture},
      {"lots, slack 0.1", [](const Fleet& f, int n, int k) { return lots(f, n, k, 0.1, true); }},
      {"lots, slack 0.25", [](const Fleet& f, int n, int k) { return lots(f, n, k, 0.25, true); }},
      {"lots, slack 0.5", [](const Fleet& f, int n, int k) { return lots(f, n, k, 0.5, true); }},
      {"lots 0.25, no index", [](const Fleet& f, int n, int k) { return lots(f, n, k, 0.25, false); }},
  };
  struct Case {
    int nodes;
    int boxes;
    int size;
  };
  for (const Case& c : {Case{1000, 20000, 50}, Case{1000, 20000, 100}, Case{1003, 20000, 100},
                        Case{200, 2000, 20}, Case{200, 2000, 50}, Case{11, 300, 50}}) {
    std::printf("\n%d nodes, %d boxes, subsets of %d\n", c.nodes, c.boxes, c.size);
    std::printf("%-20s %6s %8s %8s %8s %11s | %9s %9s %9s %9s\n", "way", "size", "max/mean", "min/mean",
                "p99/mean", "held by", "-1 box", "-1% boxes", "+1 node", "2x nodes");
    const Fleet fleet = make_fleet(c.boxes, 0.8);
    Fleet one_less(fleet.begin() + 1, fleet.end());
    Fleet percent_less(fleet.begin() + c.boxes / 100, fleet.end());
    for (const auto& [name, way] : ways) {
      const auto base = way(fleet, c.nodes, c.size);
      const Evenness e = evenness(fleet, base);
      std::printf("%-20s %6.1f %8.2f %8.2f %8.2f %4d to %4d | %9.3f %9.2f %9.2f %9.2f\n", name.c_str(),
                  e.size, e.most, e.least, e.p99, e.least_held, e.most_held,
                  churn(base, way(one_less, c.nodes, c.size)),
                  churn(base, way(percent_less, c.nodes, c.size)),
                  churn(base, way(fleet, c.nodes + 1, c.size)), churn(base, way(fleet, c.nodes * 2, c.size)));
      std::fflush(stdout);
    }
  }
}
