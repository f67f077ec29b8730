// What clients got out of a play, and how the cut-off moved.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "events.h"
#include "order_watch.h"
#include "process.h"

namespace shorelead::plans::sim {

class Tally {
 public:
  Result result;

  Tally() { result.ranks.resize(static_cast<std::size_t>(order().ranks())); }

  void came(const Request& r) {
    ++sums(r).offered;
    result.worth_offered += worth(r);
  }
  void tried(const Request& r, const Verdict& verdict, Millis now) {
    ++tries_;
    watch_.see(order().rank_of(r.plan, r.request_class), verdict, now);
    if (!verdict.taken()) ++refused_, ++sums(r).refused;
  }
  void answered(const Request& r, bool in_time) {
    if (in_time) ++sums(r).served;
    result.worth += worth(r) * (in_time ? 1 : kLate);
  }
  Result finish(const std::vector<Process>& processes, Way way) {
    double moves = 0;
    for (const Process& p : processes) {
      result.upside_down += p.watch.upside_down;
      result.windows += p.watch.windows;
      const CutOffCounters& c = p.alone().counters();
      moves += static_cast<double>(c.tightened + c.loosened + c.stepped_back);
    }
    if (way == Way::kAlone) {
      result.changes = static_cast<int>(std::lround(moves / static_cast<double>(processes.size())));
    }
    result.upside_down_fleet = watch_.windows > 0 ? watch_.upside_down / watch_.windows : 0;
    result.shed = refused_ / tries_;
    const auto& levels = result.levels;
    for (std::size_t n = 0; n < levels.size(); ++n) {
      std::size_t end = n;
      while (end < levels.size() && levels[end].first <= levels[n].first + 10000) ++end;
      result.most_in_10s = std::max(result.most_in_10s, static_cast<int>(end - n));
    }
    return result;
  }

 private:
  static double worth(const Request& r) { return kWorths[static_cast<std::size_t>(r.request_class)]; }
  RankSums& sums(const Request& r) {
    return result.ranks[static_cast<std::size_t>(order().rank_of(r.plan, r.request_class))];
  }

  OrderWatch watch_;  // of the fleet as a whole
  double tries_ = 0;
  double refused_ = 0;
};

}  // namespace shorelead::plans::sim
