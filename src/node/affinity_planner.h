// The planner's part of affinity in this process: computes the key maps of a plan on the control thread, from
// the list of backends that the traffic thread sends. Passes the list to the control thread and the counters
// back without locks. Plans no map before it has a list.
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

  // On the traffic thread.
  void put(std::vector<affinity::BackendStatus> backends) { backends_.put(std::move(backends)); }
  const AffinityPlannerCells& cells() const { return cells_; }

  // On the control thread.
  void shape(fleet::Plan& next, const fleet::Plan* standing, const std::vector<fleet::Record>& records,
             Millis now) override {
    if (backends_.take()) shaper_.set_backends(*backends_.current());
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
  fleet::Mailbox<std::vector<affinity::BackendStatus>> backends_;
  affinity::Shaper shaper_;
  AffinityPlannerCells cells_;
};

}  // namespace shorelead::node
