// A stable hash sample that orders requests within one rank: the same for a client at every process and at
// each of its retries, and another one some time later, so that it is not always the same clients that are
// rejected. Pure, no state, no allocation. It depends on neither the process, the epoch of a plan nor chance.
//
// Only time changes a sample. With a salt that never changes the same clients would be rejected in every
// shortage of the year. With one that changes with the plan's epoch all samples would be redrawn whenever a
// process joins, and a client that retries would soon be admitted: the cut would leak. So a sample lasts for
// `period` (an hour: longer than most shortages, short beside a day), and each key's hour begins at its own
// phase, or all samples would change at once, with a burst of the requests rejected so far. Processes whose
// clocks differ by d disagree on a key's sample for a time of d in each hour.
#pragma once

#include <string_view>

#include "base/millis.h"

namespace shorelead::plans {

inline constexpr Millis kSamplePeriod = 3'600'000;

// Returns a number from 0, below 1. `key` distinguishes a tenant's clients (a user, an address); without one
// the whole tenant shares one sample. `wall`: the time since 1970 by the machine's clock.
double stable_sample(std::string_view tenant, std::string_view key, Millis wall,
                     Millis period = kSamplePeriod);

// The sample of one request, computed on first use: it is not needed while there is no shortage. It must not
// outlive the strings it was constructed from.
class StableSample {
 public:
  StableSample(std::string_view tenant, std::string_view key, Millis wall)
      : tenant_(tenant), key_(key), wall_(wall) {}
  StableSample(double value) : value_(value) {}

  operator double() const {
    if (value_ < 0) value_ = stable_sample(tenant_, key_, wall_);
    return value_;
  }

 private:
  std::string_view tenant_;
  std::string_view key_;
  Millis wall_ = 0;
  mutable double value_ = -1;
};

}  // namespace shorelead::plans
