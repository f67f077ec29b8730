// When requests are to be sent: an open-loop schedule, fixed before the first of them goes out, so that a
// slow answer never delays the next request. Owns the arrival processes and the reading of traces; it must
// never look at an answer.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/millis.h"
#include "lab/draw.h"

namespace shorelead::lab {

enum class Arrivals { kPoisson, kConstant, kBursts, kRamp, kTrace };

struct Step {  // of the rate: from `at` on it is `factor` times the base
  Millis at = 0;
  double factor = 1;
};

struct LoadPlan {
  Arrivals arrivals = Arrivals::kPoisson;
  double rate = 100;  // requests a second
  Millis span = 10000;
  Millis burst_every = 1000;   // bursts: the whole second's worth ...
  Millis burst_length = 200;   // ... is sent within this part of each
  double ramp_to = 1;          // ramp: the rate at the end, as a multiple of that at the start
  std::vector<Step> steps;     // in order of time
  std::string trace;           // file: one line a request, "milliseconds class"
  std::vector<double> shares;  // of the classes
};

struct Planned {
  Millis at = 0;  // after the start
  int request_class = 0;
  bool operator==(const Planned&) const = default;
};

// The whole schedule in order of time. Throws std::runtime_error with file and line where a trace cannot be
// read.
std::vector<Planned> plan(const LoadPlan& load, const std::vector<std::string>& classes, std::uint64_t seed);

}  // namespace shorelead::lab
