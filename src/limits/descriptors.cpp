#include "limits/descriptors.h"

#include <algorithm>

namespace shorelead::limits {
namespace {

constexpr int kBackendsPart = 2;  // backends' connections: one in so many descriptors
constexpr int kReservePart = 8;   // one in so many is left to requests and clients
constexpr int kProbingPart = 8;   // connections opened for probes under way: one in so many
constexpr int kRequestsPart = 4;  // of the backends' budget, left to connections that requests opened

}  // namespace

int Descriptors::backends_budget() const { return std::max(1, most_ / kBackendsPart); }

int Descriptors::requests_reserve() const { return std::max(1, most_ / kReservePart); }

int Descriptors::probing_budget() const { return std::max(1, most_ / kProbingPart); }

bool Descriptors::hoarding(const DescriptorCounts& counts) const {
  return counts.backends >= backends_budget() - backends_budget() / kRequestsPart;
}

DescriptorState Descriptors::state(const DescriptorCounts& counts) const {
  if (counts.open >= most_) return DescriptorState::kOut;
  if (counts.open >= most_ - most_ / kReservePart) return DescriptorState::kShort;
  return hoarding(counts) ? DescriptorState::kHoarding : DescriptorState::kPlenty;
}

Step Descriptors::step(Purpose purpose, const DescriptorCounts& counts) const {
  const DescriptorState now = state(counts);
  if (purpose == Purpose::kProbe) {
    // A probe that cannot go out costs a little knowledge; the connection it would push out, a request. Only
    // clients that stand unused give way to it, and not to the probes of a list that is too long anyway.
    if (counts.probing >= probing_budget()) return Step::kRefuse;
    if (now == DescriptorState::kPlenty || now == DescriptorState::kHoarding) return Step::kOpen;
    if (hoarding(counts)) return Step::kRefuse;
    return now == DescriptorState::kOut ? Step::kEvictClientOnly : Step::kOpen;
  }
  // Guards against clients that say nothing and come on and on: none is old enough to give way, and a request
  // that needed a new connection was refused.
  const bool clients_at_most = counts.open - counts.backends >= most_ - requests_reserve();
  if (purpose == Purpose::kClient && clients_at_most) return Step::kEvictClientOnly;
  if (now != DescriptorState::kOut) return Step::kOpen;
  // A client opens another connection at no loss, so clients' unused ones give way first; but not to a hoard.
  return counts.backends > backends_budget() ? Step::kEvictBackend : Step::kEvictClient;
}

bool Descriptors::keep(Purpose purpose, const DescriptorCounts& counts) const {
  return purpose != Purpose::kProbe || !hoarding(counts);
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
