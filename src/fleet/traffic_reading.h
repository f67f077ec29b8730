// Turns the traffic thread's cells into the state that the member reports: rates smoothed against random
// variation, and current use. The values belong to the reported generation or a later one, never an earlier
// one.
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
    std::vector<double> counts;  // asked and spent of each budget, then five values per rank
    std::vector<double> in_use;
  };
  Sample sample(Millis now) const;
  double smoothed_rate(std::size_t count, const Sample& latest) const;  // rate per second
  // The sample at least `span` old, or the oldest one.
  const Sample& before(Millis now, Millis span) const;

  const std::vector<Budget> budgets_;
  const TrafficCells& cells_;
  std::deque<Sample> samples_;
  Millis longest_ = 0;
};

}  // namespace shorelead::fleet
