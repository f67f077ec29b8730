// Shares file descriptors between the clients and all pools: who may open one, and which idle connection is
// evicted for it. Counts connections over the pools; limits::Descriptors decides. Connections in use are
// never closed.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "limits/descriptors.h"
#include "node/front.h"
#include "node/pool.h"

namespace shorelead::node {

// The number of descriptors that this process may open: the configured one, or the system's limit if that is
// lower. Reads that limit and never raises it.
int allowed_descriptors(int configured);

class DescriptorRoom {
 public:
  // `max`: current limit for clients and backends. `pools` refers to the node's changing list of pools.
  DescriptorRoom(const std::vector<std::shared_ptr<Pool>>& pools, std::function<int()> max)
      : pools_(pools), max_(std::move(max)) {}

  limits::Descriptors rules() const { return limits::Descriptors(max_()); }
  limits::DescriptorCounts counts() const;
  bool keep(limits::Purpose purpose) const { return rules().keep(purpose, counts()); }
  // Evicts an idle connection if needed; returns whether a descriptor is available.
  bool make(limits::Purpose purpose, Front& front);
  bool evict_of_pools();  // closes the connection of any pool that has been idle for longest
  void log_counters(const Front& front) const;

 private:
  const std::vector<std::shared_ptr<Pool>>& pools_;
  const std::function<int()> max_;
  int max_seen_ = 0;
};

}  // namespace shorelead::node
