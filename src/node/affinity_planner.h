// The planner's side of affinity in this process: the shaper of maps, on the control's thread, and the list
// of backends that the traffic hands it. Owns the way of that list from one thread to the other and the
// figures back; it must never lock, nor let a plan be shaped by a list that was never told.
#pragma once

#include <utility>
#include <vector>

#include "affinity/shaper.h"
#include "fleet/cells.h"
#include "fleet/mailbox.h"

namespace shorelead::node {

struct AffinityPlannerCells {
  fleet::Cell<std::uint64_t> closed, opened, returned, held, waiting;
};

class AffinityPlanner : public fleet::PlanShaper {
 public:
  explicit AffinityPlanner(std::vector<affinity::Rule> rules)
      : shaper_(std::move(rules), affinity::ShaperOptions()) {}

  // The traffic's thread.
  void put(std::vector<affinity::BackendSeen> backends) { backends_.put(std::move(backends)); }
  const AffinityPlannerCells& cells() const { return cells_; }

  // The control's.
  void shape(fleet::Plan& next, const fleet::Plan* standing, const std::vector<fleet::Record>& records,
             Millis now) override {
    if (backends_.take()) shaper_.see(*backends_.current());
    if (backends_.current() == nullptr) return;
    shaper_.shape(next, standing, records, now);
    const affinity::ShaperCounters& c = shaper_.counters();
    cells_.closed.set(c.closed);
    cells_.opened.set(c.opened);
    cells_.returned.set(c.returned);
    cells_.held.set(c.held);
    cells_.waiting.set(c.waiting);
  }

 private:
  fleet::Mailbox<std::vector<affinity::BackendSeen>> backends_;
  affinity::Shaper shaper_;
  AffinityPlannerCells cells_;
};

}  // namespace shorelead::node
