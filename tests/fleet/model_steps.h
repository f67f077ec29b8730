// Random faults for the model's fleets, generated and shrunk by RapidCheck.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "base/millis.h"
#include "fleet/model_world.h"

namespace shorelead::fleet::model {

struct Step {
  int what = 0;     // the kind of step, by weight
  int who = 0;      // index among the running processes
  int much = 0;     // magnitude, 0 to 9
  Millis then = 0;  // time that runs after the step
};
int step_kinds();  // exclusive upper bound of `what`
std::ostream& operator<<(std::ostream& out, const Step& step);

struct Scenario {
  std::uint64_t seed = 1;
  Noise noise;
  int begin = 3;  // number of processes at the start
  std::vector<Step> steps;
};
std::ostream& operator<<(std::ostream& out, const Scenario& scenario);  // as C++ source

// Runs the scenario; returns the first violation, or an empty text.
std::string run_scenario(const Scenario& scenario);

}  // namespace shorelead::fleet::model
