#include "limits/descriptors.h"

#include <algorithm>

namespace shorelead::limits {
namespace {

// Each is a divisor: one descriptor in so many.
constexpr int kBackendsDivisor = 2;  // for connections to backends
constexpr int kReserveDivisor = 8;   // kept free for requests and clients
constexpr int kProbingDivisor = 8;   // for connections opened for probes in progress
constexpr int kRequestsDivisor = 4;  // of the backends' budget: only for connections that requests opened

}  // namespace

int Descriptors::backends_budget() const { return std::max(1, limit_ / kBackendsDivisor); }

int Descriptors::requests_reserve() const { return std::max(1, limit_ / kReserveDivisor); }

int Descriptors::probing_budget() const { return std::max(1, limit_ / kProbingDivisor); }

bool Descriptors::backends_near_budget(const DescriptorCounts& counts) const {
  return counts.backends >= backends_budget() - backends_budget() / kRequestsDivisor;
}

DescriptorState Descriptors::state(const DescriptorCounts& counts) const {
  if (counts.open >= limit_) return DescriptorState::kOut;
  if (counts.open >= limit_ - limit_ / kReserveDivisor) return DescriptorState::kShort;
  return backends_near_budget(counts) ? DescriptorState::kHoarding : DescriptorState::kPlenty;
}

Step Descriptors::step(Purpose purpose, const DescriptorCounts& counts) const {
  const DescriptorState now = state(counts);
  if (purpose == Purpose::kProbe) {
    // Skipping a probe costs little; closing a connection for it can cost a request. So only idle clients'
    // connections are closed for a probe, and none if the list is too long for the descriptors anyway.
    if (counts.probing >= probing_budget()) return Step::kRefuse;
    if (now == DescriptorState::kPlenty || now == DescriptorState::kHoarding) return Step::kOpen;
    if (backends_near_budget(counts)) return Step::kRefuse;
    return now == DescriptorState::kOut ? Step::kEvictClientOnly : Step::kOpen;
  }
  // Guards against clients that keep connecting and send nothing. None is idle long enough to be closed, and
  // without the reserve a request that needs a new connection would be refused.
  const bool clients_at_limit = counts.open - counts.backends >= limit_ - requests_reserve();
  if (purpose == Purpose::kClient && clients_at_limit) return Step::kEvictClientOnly;
  if (now != DescriptorState::kOut) return Step::kOpen;
  // Clients reconnect without loss, so their idle connections are closed first, unless backends' connections
  // are over budget.
  return counts.backends > backends_budget() ? Step::kEvictBackend : Step::kEvictClient;
}

bool Descriptors::keep(Purpose purpose, const DescriptorCounts& counts) const {
  return purpose != Purpose::kProbe || !backends_near_budget(counts);
}

const char* name_of(DescriptorState state) {
  switch (state) {
    case DescriptorState::kPlenty:
      return "plenty";
    case DescriptorState::kHoarding:
      return "hoarding";
    case DescriptorState::kShort:
      return "short";
    case DescriptorState::kOut:
      return "out";
  }
  return "unknown";
}

}  // namespace shorelead::limits
