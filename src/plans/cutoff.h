// The users of the controller: the planner for the fleet, and each process for itself while it has no valid
// plan. Pure. Both shed load in the same order; they differ in the records they use. A cut-off never enters a
// plan if another planner's is newer.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "fleet/plan.h"
#include "fleet/planner.h"
#include "plans/controller.h"

namespace shorelead::plans {

// Sets the cut-off of each plan. Called in every round of the planner, about twice a second. Another
// planner's cut-off is adopted and held.
class CutOffShaper : public fleet::PlanShaper {
 public:
  CutOffShaper(int ranks, const CutOffSettings& settings, std::uint64_t seed);

  void shape(fleet::Plan& next, const fleet::Plan* standing, const std::vector<fleet::Record>& records,
             Millis now) override;

  const Controller& controller() const { return controller_; }

 private:
  bool in_force(const std::vector<fleet::Record>& records) const;

  const int ranks_;
  const CutOffSettings settings_;
  Controller controller_;
  fleet::CutOff requested_;  // in this planner's plans since `requested_at_`
  fleet::CutOff previous_;   // the cut-off before it
  Millis requested_at_ = 0;
  std::uint64_t epoch_ = 0;  // of the first standing plan with `requested_`; 0 = none yet
};

// The cut-off of one process: the plan's while the plan is valid; afterwards the last one, moved by what the
// process itself observes.
class LocalShedder {
 public:
  LocalShedder(int ranks, const CutOffSettings& settings, std::uint64_t seed);

  // Sets the cut-off of the plan in force, valid until `valid_until` on the clock of `now`.
  void set_plan_cut_off(const fleet::CutOff& cut, Millis valid_until);
  // Returns the cut-off to apply. Called about once a second with the load of the last second.
  fleet::CutOff in_force(const std::map<int, fleet::RankLoad>& ranks, double room, Millis now);

  bool without_plan() const { return without_plan_; }
  const Controller& controller() const { return controller_; }

 private:
  const int ranks_;
  const CutOffSettings settings_;
  Controller controller_;
  fleet::CutOff plan_cut_off_;
  Millis valid_until_ = 0;
  bool without_plan_ = false;
  std::vector<fleet::Record> own_record_;
};

}  // namespace shorelead::plans
