// Plays scenarios by each way over some seeds and prints worth, share in time by rank, and how often the
// cut-off was moved: shorelead_plans_sim [seeds] [part of a scenario's name] [way] [trace]
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

#include "sim.h"

using namespace shorelead;
using namespace shorelead::plans::sim;

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
  const std::string part = argc > 2 ? argv[2] : "";
  const std::string only = argc > 3 ? argv[3] : "";
  const bool trace = argc > 4;
  std::printf("%-32s %-6s %6s %9s  in time by rank (served/offered)%10s %6s %5s %5s %9s %s\n", "scenario",
              "way", "worth", "of none", "", "shed", "moves", "10s", "upside", "fleet");
  for (std::size_t which = 0; which < scenarios(1).size(); ++which) {
    if (scenarios(1)[which].name.find(part) == std::string::npos) continue;
    double none = 0;
    for (int way = 0; way < static_cast<int>(kWayNames.size()); ++way) {
      if (way != 0 && !only.empty() && only != kWayNames[static_cast<std::size_t>(way)]) continue;
      double worth = 0, offered = 0, shed = 0, moves = 0, upside = 0, windows = 0, fleet = 0, least = 1e9;
      int most = 0;
      std::vector<RankSums> ranks;
      for (int seed = 1; seed <= seeds; ++seed) {
        const auto all = scenarios(static_cast<std::uint64_t>(seed));
        const Result r = play(all[which], static_cast<Way>(way), static_cast<std::uint64_t>(seed));
        worth += r.worth, offered += r.worth_offered, shed += r.shed / seeds;
        moves += static_cast<double>(r.changes) / seeds;
        upside += r.upside_down, windows += r.windows;
        fleet += r.upside_down_fleet / seeds;
        most = std::max(most, r.most_in_10s);
        least = std::min(least, r.worth / r.worth_offered);
        ranks.resize(r.ranks.size());
        for (std::size_t n = 0; n < ranks.size(); ++n) {
          ranks[n].offered += r.ranks[n].offered;
          ranks[n].served += r.ranks[n].served;
        }
        if (trace) {
          for (const auto& [at, level] : r.levels) std::printf("  %8.1f s  level %.3f\n", at / 1000, level);
        }
      }
      if (way == 0) none = worth;
      std::printf("%-32s %-6s %6.3f %9.3f  ", way == 0 ? scenarios(1)[which].name.c_str() : "",
                  kWayNames[static_cast<std::size_t>(way)], worth / offered, worth / none);
      for (const RankSums& sums : ranks) std::printf("%.3f ", sums.served / sums.offered);
      std::printf("  %6.3f %6.1f %5d %4.0f/%.0f %5.3f\n", shed, moves, most, upside, windows, fleet);
    }
  }
}
