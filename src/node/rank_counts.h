// What the traffic's counters of each rank say of the time since the last look. Owns the figures of that
// look; it must never write a counter.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "fleet/cells.h"
#include "fleet/plan.h"

namespace shorelead::node {

class RankCounts {
 public:
  explicit RankCounts(int ranks) : before_(static_cast<std::size_t>(ranks)) {}

  // `cells_of`: the counters of a rank, or null.
  template <typename CellsOf>
  std::map<int, fleet::RankLoad> since_last(const CellsOf& cells_of) {
    std::map<int, fleet::RankLoad> loads;
    for (std::size_t rank = 0; rank < before_.size(); ++rank) {
      const fleet::RankCells* const cells = cells_of(static_cast<int>(rank));
      if (cells == nullptr) continue;
      const fleet::RankLoad count = now_of(*cells);
      loads[static_cast<int>(rank)] = less(count, before_[rank]);
      before_[rank] = count;
    }
    return loads;
  }

 private:
  static fleet::RankLoad now_of(const fleet::RankCells& cells) {
    const auto figure = [](const auto& cell) { return static_cast<double>(cell.get()); };
    return {figure(cells.offered), figure(cells.taken), figure(cells.in_time), figure(cells.refused),
            figure(cells.failed)};
  }
  static fleet::RankLoad less(const fleet::RankLoad& a, const fleet::RankLoad& b) {
    return {a.offered - b.offered, a.taken - b.taken, a.in_time - b.in_time, a.refused - b.refused,
            a.failed - b.failed};
  }

  std::vector<fleet::RankLoad> before_;
};

}  // namespace shorelead::node
