// Who runs the controller: the planner for the fleet, and each process for itself while it has no plan that
// counts. Pure. Both shed in the same order; they differ in what they look at. It must never put a cut-off in
// a plan that another planner's is newer than.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "fleet/plan.h"
#include "fleet/planner.h"
#include "plans/controller.h"

namespace shorelead::plans {

// Sets the cut-off of each plan. Called at every look of the planner, some twice a second; another planner's
// cut-off is taken over and held.
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
  fleet::CutOff asked_;   // in the plans since `asked_at_`
  fleet::CutOff before_;  // what they said before
  Millis asked_at_ = 0;
  std::uint64_t epoch_ = 0;  // of the first plan with it; 0 = none stands yet
};

// One process's cut-off: the plan's while that counts; then the last one, moved by what the process sees
// itself.
class LocalShedder {
 public:
  LocalShedder(int ranks, const CutOffSettings& settings, std::uint64_t seed);

  // The plan in force has this cut-off; it counts until then, on the clock of `now`.
  void told(const fleet::CutOff& cut, Millis valid_until);
  // What the traffic is to go by. About once a second, with the figures of the last.
  fleet::CutOff in_force(const std::map<int, fleet::RankLoad>& ranks, double room, Millis now);

  bool alone() const { return alone_; }
  const Controller& controller() const { return controller_; }

 private:
  const int ranks_;
  const CutOffSettings settings_;
  Controller controller_;
  fleet::CutOff told_;
  Millis valid_until_ = 0;
  bool alone_ = false;
  std::vector<fleet::Record> own_;
};

}  // namespace shorelead::plans
