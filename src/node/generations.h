// Generations of the configuration: how a new one is made out of the pools that live, waits for their lists,
// and comes in force. Owns the pools, which end once no generation can send to them and nothing is with them.
// It must never touch what is under way.
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
    std::function<void(Pool&)> start_pool;  // of a pool that has come with a reload
    std::function<void(std::shared_ptr<const RoutingSnapshot>)> on_activated;
  };

  Generations(Loop& loop, FleetAdmissions& admissions, Host host);
  ~Generations();
  Generations(const Generations&) = delete;
  Generations& operator=(const Generations&) = delete;

  void start(const Config& config);  // the first one, in force at once
  // The next one. Throws where it cannot be made; then all stays as it was.
  void apply(const Config& config);
  // The platform's form: the one pool goes on with what it has learnt.
  void apply_in_place(const Config& config);

  const std::shared_ptr<const RoutingSnapshot>& snapshot() const { return snapshot_; }  // in force
  // All that live: in force, pending, or left with something to do.
  const std::vector<std::shared_ptr<Pool>>& pools() const { return pools_; }
  std::uint64_t attempts_of_removed_pools() const {
    return attempts_of_removed_pools_;
  }  // attempts of pools that have ended

 private:
  // One that waits for the lists of its new pools before requests go by it.
  struct Pending {
    std::shared_ptr<RoutingSnapshot> snapshot;
    std::vector<PoolConfig> pool_configs;  // by pool: what it is to follow once the generation is in force
    Millis deadline = 0;
  };

  Pending make_snapshot(const Config& config);
  void activate_when_ready();  // what is pending, if it is time
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
