// Ways of choosing subsets side by side: how evenly the backends are held, and how many members change when
// backends or nodes come and go. Baselines: random choice, rendezvous hashing (Thaler and Ravishankar 1998),
// deterministic subsetting by shuffled slices (Beyer et al. 2016, ch. 20), an aperture on a ring of evenly
// spaced backends, and the shards of src/subset. Prints a table; draws nothing from the clock.
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

#include "lab/subset_ways.h"
#include "subset/partition.h"

namespace {

using namespace shorelead::lab;
using shorelead::subset::Backend;
using shorelead::subset::hash_of;
using Fleet = Backends;

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
  for (const Backend& backend : fleet) load[backend.key] = {0, 0};
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

Fleet make_fleet(int backends, double most_in_one_zone) {
  Fleet fleet;
  for (int n = 0; n < backends; ++n) {
    const int zone = n < backends * most_in_one_zone ? 0 : 1 + n % 2;
    fleet.push_back({hash_of("box-" + std::to_string(n)), zone, 1});
  }
  return fleet;
}

}  // namespace

int main() {
  struct Case {
    int nodes;
    int backends;
    int size;
  };
  for (const Case& c : {Case{1000, 20000, 50}, Case{1000, 20000, 100}, Case{1003, 20000, 100},
                        Case{200, 2000, 20}, Case{200, 2000, 50}, Case{11, 300, 50}}) {
    std::printf("\n%d nodes, %d boxes, subsets of %d\n", c.nodes, c.backends, c.size);
    std::printf("%-20s %6s %8s %8s %8s %11s | %9s %9s %9s %9s\n", "way", "size", "max/mean", "min/mean",
                "p99/mean", "held by", "-1 box", "-1% boxes", "+1 node", "2x nodes");
    const Fleet fleet = make_fleet(c.backends, 0.8);
    Fleet one_less(fleet.begin() + 1, fleet.end());
    Fleet percent_less(fleet.begin() + c.backends / 100, fleet.end());
    for (const auto& [name, way] : subset_ways()) {
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
