#include "limits/memory_shares.h"

#include <algorithm>

namespace shorelead::limits {
namespace {

constexpr double kBytesPerMb = 1048576;
constexpr double kClientShare = 0.2;   // of the limit, for what clients' connections hold
constexpr double kStreamShare = 0.25;  // of the limit, for streamed bodies
constexpr double kUsable = 0.8;        // of the limit, by one process; the rest is for growth between checks
constexpr double kUsableByTwo = 0.95;  // of the limit, by two processes together
constexpr double kSuccessorGrowth = 1.1;  // of a process that has just started, until it serves
constexpr double kLeastBuffersMb = 1;     // to go on serving small requests, whatever else is held

double usable_mb(const MemoryUse& use) {
  if (use.processes > 1) return kUsableByTwo * use.limit_mb / use.processes;
  const double alone = kUsable * use.limit_mb;
  return use.restartable ? std::min(alone, use.limit_mb - kSuccessorGrowth * use.start_mb) : alone;
}

std::size_t bytes(double mb) { return static_cast<std::size_t>(mb * kBytesPerMb); }

}  // namespace

MemoryShares memory_shares(const MemoryUse& use) {
  const double left = std::max(usable_mb(use) - use.beside_mb, kLeastBuffersMb);
  const double limit = use.limit_mb / use.processes;
  return {bytes(std::min(kClientShare * limit, left / 2)), bytes(std::min(kStreamShare * limit, left / 2))};
}

}  // namespace shorelead::limits
