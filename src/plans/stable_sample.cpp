#define XXH_INLINE_ALL
#include "plans/stable_sample.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

#include "base/random.h"

namespace shorelead::plans {

double stable_sample(std::string_view tenant, std::string_view key, Millis wall, Millis period) {
  // The tenant's hash seeds the key's, so no string is concatenated, and "ab" + "c" differs from "a" + "bc".
  const std::uint64_t who =
      XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(tenant.data(), tenant.size()));
  const double phase = static_cast<double>(who >> 11) * 0x1.0p-53;
  const auto turn = static_cast<std::uint64_t>(std::max(0.0, wall) / period + phase);
  // SplitMix64 over both, so that the samples of successive periods are independent.
  return Random(who ^ Random(turn).next()).unit();
}

}  // namespace shorelead::plans
