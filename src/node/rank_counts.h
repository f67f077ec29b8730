// Difference of the traffic thread's counters of each rank since the last reading. Writes no counter.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "fleet/cells.h"
#include "fleet/plan.h"

namespace shorelead::node {

class RankCounts {
 public:
  explicit RankCounts(int ranks) : previous_(static_cast<std::size_t>(ranks)) {}

  // `cells_of` returns the counters of a rank, or null.
  template <typename CellsOf>
  std::map<int, fleet::RankLoad> since_last(const CellsOf& cells_of) {
    std::map<int, fleet::RankLoad> loads;
    for (std::size_t rank = 0; rank < previous_.size(); ++rank) {
      const fleet::RankCells* const cells = cells_of(static_cast<int>(rank));
      if (cells == nullptr) continue;
      const fleet::RankLoad count = read(*cells);
      loads[static_cast<int>(rank)] = difference(count, previous_[rank]);
      previous_[rank] = count;
    }
    return loads;
  }

 private:
  static fleet::RankLoad read(const fleet::RankCells& cells) {
    const auto value = [](const auto& cell) { return static_cast<double>(cell.get()); };
    return {value(cells.offered), value(cells.taken), value(cells.in_time), value(cells.refused),
            value(cells.failed)};
  }
  static fleet::RankLoad difference(const fleet::RankLoad& a, const fleet::RankLoad& b) {
    return {a.offered - b.offered, a.taken - b.taken, a.in_time - b.in_time, a.refused - b.refused,
            a.failed - b.failed};
  }

  std::vector<fleet::RankLoad> previous_;
};

}  // namespace shorelead::node
