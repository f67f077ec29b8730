// Whether refusals fall on two groups as chance would have it, moment by moment: Mantel and Haenszel's test
// over short strata of time (J. Natl. Cancer Inst. 22, 1959), so that load that comes and goes, and a group
// that is there at other moments than another, do not look like a preference. Pure; it knows no ranks.
#pragma once

#include <cmath>
#include <cstdint>
#include <map>

#include "base/millis.h"

namespace shorelead::lab {

class Evenness {
 public:
  explicit Evenness(Millis stratum = 200) : stratum_(stratum) {}

  void first(Millis at, bool refused) { add(strata_[of(at)].first, refused); }
  void second(Millis at, bool refused) { add(strata_[of(at)].second, refused); }

  // By how many standard deviations the first group was refused more often than the second; 0 where nothing
  // can be said.
  double tilt() const {
    double over = 0;
    double variance = 0;
    for (const auto& [at, s] : strata_) {
      const double n = s.first.seen + s.second.seen;
      const double refused = s.first.refused + s.second.refused;
      if (n < 2 || s.first.seen == 0 || s.second.seen == 0) continue;
      over += s.first.refused - refused * s.first.seen / n;
      variance += refused * (n - refused) * s.first.seen * s.second.seen / (n * n * (n - 1));
    }
    return over <= 0.5 || variance <= 0 ? 0 : (over - 0.5) / std::sqrt(variance);
  }

 private:
  struct Group {
    double seen = 0;
    double refused = 0;
  };
  struct Stratum {
    Group first, second;
  };
  static void add(Group& group, bool refused) { ++group.seen, group.refused += refused ? 1 : 0; }
  std::int64_t of(Millis at) const { return static_cast<std::int64_t>(std::floor(at / stratum_)); }

  const Millis stratum_;
  std::map<std::int64_t, Stratum> strata_;
};

}  // namespace shorelead::lab
