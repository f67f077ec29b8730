#include "node/descriptor_room.h"

#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>

namespace shorelead::node {

// Without this check, where the system's limit is below the configured one, idle clients could take all
// descriptors and neither discovery nor a backend could be called.
int allowed_descriptors(int configured) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= static_cast<rlim_t>(configured))
    return configured;
  spdlog::warn(
      "{} sockets are configured, but the system allows this process only {} descriptors: using these",
      configured, limit.rlim_cur);
  return static_cast<int>(limit.rlim_cur);
}

limits::DescriptorCounts DescriptorRoom::counts() const {
  std::size_t connections = 0;
  std::size_t probing = 0;
  for (const auto& pool : pools_) {
    connections += pool->connections();
    probing += pool->probing();
  }
  return {Stream::open_count(), static_cast<int>(connections), static_cast<int>(probing)};
}

bool DescriptorRoom::evict_of_pools() {
  Pool* oldest = nullptr;
  for (const auto& pool : pools_) {
    const Millis since = pool->oldest_idle_since();
    if (since > 0 && (oldest == nullptr || since < oldest->oldest_idle_since())) oldest = pool.get();
  }
  return oldest != nullptr && oldest->evict_idle();
}

// Clients with open requests may hold all descriptors: a request for which none is left is refused at once,
// which makes its client's connection idle.
bool DescriptorRoom::make(limits::Purpose purpose, Front& front) {
  max_seen_ = std::max(max_seen_, Stream::open_count());
  while (true) {
    switch (rules().step(purpose, counts())) {
      case limits::Step::kOpen:
        return true;
      case limits::Step::kEvictClient:
        if (!front.evict_idle() && !evict_of_pools()) return false;
        break;
      case limits::Step::kEvictBackend:
        if (!evict_of_pools() && !front.evict_idle()) return false;
        break;
      case limits::Step::kEvictClientOnly:
        if (!front.evict_idle()) return false;
        break;
      case limits::Step::kRefuse:
        return false;
    }
  }
}

void DescriptorRoom::log_counters(const Front& front) const {
  const FrontCounters& counters = front.counters();
  spdlog::info(
      "counters: sockets open={} most={} clients={} accepted={} silent={} unused={} evicted={} "
      "for_memory={} paused={}",
      Stream::open_count(), max_seen_, front.clients(), front.acceptor().accepted(), counters.silent,
      counters.idle, counters.evicted, counters.gave_up_for_memory, front.acceptor().pauses());
  spdlog::info("counters: descriptors state={} most={} backends_budget={} probing={}",
               limits::name_of(rules().state(counts())), max_(), rules().backends_budget(), counts().probing);
}

}  // namespace shorelead::node
