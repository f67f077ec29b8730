// Random numbers of the lab: the same draws from the same seed on every machine (Boost.Random, whose
// algorithms are fixed, unlike the standard library's distributions). Owns named streams and distributions;
// it must never be seeded from the clock.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/millis.h"

namespace shorelead::lab {

// A stream of its own for each purpose: what one part draws never moves what another does.
class Draw {
 public:
  Draw(std::uint64_t seed, std::string_view stream);
  double uniform(double low, double high);
  std::uint64_t whole(std::uint64_t below);
  bool chance(double share) { return share > 0 && uniform(0, 1) < share; }
  double exponential(double mean);
  double lognormal(double mean, double cv);
  std::string hex(int digits);

 private:
  boost::random::mt19937_64 engine_;
};

// Ranks 0 to count - 1, the nth in proportion to (n + 1) to the power of -skew (Zipf's law); 0 = alike.
class Zipf {
 public:
  Zipf(int count, double skew);
  int draw(Draw& from) const;

 private:
  std::vector<double> sums_;
};

enum class Shape { kConstant, kExponential, kLognormal, kPareto };

struct Work {
  Shape shape = Shape::kConstant;
  Millis mean = 1;
  double cv = 1;       // lognormal
  double alpha = 1.5;  // bounded Pareto
  double bound = 100;  // bounded Pareto: the largest is so many times the smallest

  Millis draw(Draw& from) const;
};

}  // namespace shorelead::lab
