// Random hurt for the model's fleets, as RapidCheck makes and shrinks it.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "base/millis.h"
#include "fleet/model_world.h"

namespace shorelead::fleet::model {

struct Step {
  int what = 0;     // a kind of hurt, by weight
  int who = 0;      // among those that run
  int much = 0;     // 0 to 9
  Millis then = 0;  // it goes on for so long
};
int step_kinds();  // `what` is under it
std::ostream& operator<<(std::ostream& out, const Step& step);

struct Story {
  std::uint64_t seed = 1;
  Noise noise;
  int begin = 3;  // processes
  std::vector<Step> steps;
};
std::ostream& operator<<(std::ostream& out, const Story& story);  // as C++ writes it

// What broke, or nothing.
std::string play(const Story& story);

}  // namespace shorelead::fleet::model
