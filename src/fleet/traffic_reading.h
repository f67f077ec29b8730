// What the traffic's cells say, as a member reports it: rates as they are but for chance, what is in use now.
// Pure but for the cells it reads. It must never tell a generation in force with figures from before it.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "base/millis.h"
#include "fleet/cells.h"
#include "fleet/member_events.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

class TrafficReading {
 public:
  TrafficReading(const std::vector<Budget>& budgets, const TrafficCells& cells);
  TrafficState read(Millis now);

 private:
  struct Sample {
    Millis at;
    std::vector<double> counts;  // asked, spent of each budget, then five of each rank
    std::vector<double> in_use;
  };
  Sample sample(Millis now) const;
  double steady(std::size_t count, const Sample& latest) const;  // a second
  // The oldest sample kept that is at least so old, or the oldest.
  const Sample& before(Millis now, Millis span) const;

  const std::vector<Budget> budgets_;
  const TrafficCells& cells_;
  std::deque<Sample> samples_;
  Millis longest_ = 0;
};

}  // namespace shorelead::fleet
