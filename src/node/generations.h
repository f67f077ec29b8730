// Generations of the configuration. A new generation reuses the pools that have not changed, waits for the
// lists of its new pools, and is then activated. Owns the pools; one is removed when no generation can send
// to it and it has no requests left. Requests in progress keep the generation that they began with.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "node/config.h"
#include "node/fleet_admissions.h"
#include "node/net.h"
#include "node/pool.h"
#include "node/routing_snapshot.h"

namespace shorelead::node {

class Generations {
 public:
  struct Host {
    std::function<std::shared_ptr<Pool>(const PoolConfig&, const Config&)> make_pool;
    std::function<void(Pool&)> start_pool;  // called for each pool that a reload adds
    std::function<void(std::shared_ptr<const RoutingSnapshot>)> on_activated;
  };

  Generations(Loop& loop, FleetAdmissions& admissions, Host host);
  ~Generations();
  Generations(const Generations&) = delete;
  Generations& operator=(const Generations&) = delete;

  void start(const Config& config);  // makes and activates the first generation
  // Makes the next generation. Throws if it cannot be made; nothing has changed then.
  void apply(const Config& config);
  // The same for the platform's JSON: its one pool is updated in place and keeps its statistics.
  void apply_in_place(const Config& config);

  const std::shared_ptr<const RoutingSnapshot>& snapshot() const { return snapshot_; }  // the active one
  // All pools: of the active and the pending generation, and removed ones with requests left.
  const std::vector<std::shared_ptr<Pool>>& pools() const { return pools_; }
  std::uint64_t attempts_of_removed_pools() const { return attempts_of_removed_pools_; }

 private:
  // A generation that waits for the lists of its new pools before it is activated.
  struct Pending {
    std::shared_ptr<RoutingSnapshot> snapshot;
    std::vector<PoolConfig> pool_configs;  // by pool, applied at the activation
    Millis deadline = 0;
  };

  Pending make_snapshot(const Config& config);
  void activate_when_ready();  // the pending generation; also once its deadline has passed
  void remove_unused_pools();

  Loop& loop_;
  FleetAdmissions& admissions_;
  const Host host_;
  std::vector<std::shared_ptr<Pool>> pools_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::optional<Pending> pending_;
  Loop::TimerId activation_timer_ = 0;
  Loop::TimerId removal_timer_ = 0;
  std::uint64_t attempts_of_removed_pools_ = 0;
};

}  // namespace shorelead::node
