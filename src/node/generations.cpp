#include "node/generations.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace shorelead::node {
namespace {

// For the lists of new pools; after it a generation is activated without them.
constexpr Millis kListTimeout = 3000;
constexpr Millis kActivationCheckInterval = 10;
constexpr Millis kRemovalCheckInterval = 50;

}  // namespace

Generations::Generations(Loop& loop, FleetAdmissions& admissions, Host host)
    : loop_(loop), admissions_(admissions), host_(std::move(host)) {}

Generations::~Generations() {
  loop_.cancel(activation_timer_);
  loop_.cancel(removal_timer_);
}

void Generations::start(const Config& config) { snapshot_ = make_snapshot(config).snapshot; }

void Generations::apply(const Config& config) {
  // Replaces a pending generation; its pools are kept if the newer one has them as well.
  const std::vector<std::shared_ptr<Pool>> before = pools_;
  try {
    Pending pending = make_snapshot(config);
    pending_ = std::move(pending);
  } catch (...) {
    // Unusable TLS keys are detected only when a pool is made.
    pools_ = before;
    throw;
  }
  for (const auto& pool : pools_) {
    if (std::find(before.begin(), before.end(), pool) == before.end()) host_.start_pool(*pool);
  }
  activate_when_ready();
  remove_unused_pools();
}

void Generations::apply_in_place(const Config& config) {
  auto next = std::make_shared<RoutingSnapshot>(*snapshot_);
  ++next->number;
  next->classes = config.settings.classes;
  next->names = config.host.classes;
  next->tenants = config.host.tenants;
  next->routes = config.routes;
  PoolConfig pool_config = next->pools.front()->config();
  pool_config.discovery = config.discovery;
  pool_config.settings = config.settings;
  pool_config.host = config.host;
  next->class_in_pool = {next->pools.front()->adopt(pool_config)};
  spdlog::info("configuration reloaded: discovery at {}, {} sockets, {} classes, at most {} attempts",
               config.discovery.toString(), config.limits.sockets, next->names.size(),
               config.settings.max_attempts);
  pending_ = Pending{next, {pool_config}, 0};
  activate_when_ready();
}

// Reuses pools whose configuration has not changed, even if they were renamed, and makes the others.
Generations::Pending Generations::make_snapshot(const Config& config) {
  Pending pending;
  pending.pool_configs = pools_of(config);
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->number = snapshot_ ? snapshot_->number + 1 : 1;
  snapshot->classes = config.settings.classes;
  snapshot->names = config.host.classes;
  snapshot->tenants = config.host.tenants;
  snapshot->routes = config.routes;
  std::vector<std::shared_ptr<Pool>> available = pools_;
  const auto claim = [&available](const auto& fits) {
    const auto it = std::find_if(available.begin(), available.end(), fits);
    if (it == available.end()) return std::shared_ptr<Pool>();
    const std::shared_ptr<Pool> pool = *it;
    available.erase(it);
    return pool;
  };
  snapshot->pools.resize(pending.pool_configs.size());
  for (std::size_t n = 0; n < pending.pool_configs.size(); ++n) {
    snapshot->pools[n] = claim([&](const auto& pool) {
      return pool->name() == pending.pool_configs[n].name && pool->serves_as(pending.pool_configs[n]);
    });
  }
  for (std::size_t n = 0; n < pending.pool_configs.size(); ++n) {
    const PoolConfig& pool_config = pending.pool_configs[n];
    const auto same_backends = [&](const auto& pool) {
      const bool same_source = pool_config.discovery
                                   ? pool->config().discovery == pool_config.discovery
                                   : pool->config().known.backends == pool_config.known.backends;
      const bool still_named =
          std::any_of(pending.pool_configs.begin(), pending.pool_configs.end(),
                      [&](const PoolConfig& other) { return other.name == pool->name(); });
      return !still_named && same_source && pool->serves_as(pool_config);
    };
    if (!snapshot->pools[n]) snapshot->pools[n] = claim(same_backends);
    if (!snapshot->pools[n]) {
      snapshot->pools[n] = host_.make_pool(pool_config, config);
      pools_.push_back(snapshot->pools[n]);
    }
    snapshot->class_in_pool.push_back(pool_config.classes);
    snapshot->fallbacks.push_back(pool_config.fallback);
  }
  snapshot->admission = admissions_.make(config, snapshot_.get());
  pending.snapshot = std::move(snapshot);
  pending.deadline = loop_.now() + kListTimeout;
  return pending;
}

void Generations::activate_when_ready() {
  loop_.cancel(activation_timer_);
  if (!pending_) return;
  const std::shared_ptr<RoutingSnapshot> next = pending_->snapshot;
  const auto waits = [](const std::shared_ptr<Pool>& pool) { return !pool->has_current_list(); };
  const auto without_list = std::find_if(next->pools.begin(), next->pools.end(), waits);
  // Without a plan, the fleet admission has no backend for a key.
  const bool without_plan = next->admission && !next->admission->plan_settled();
  if ((without_list != next->pools.end() || without_plan) && loop_.now() < pending_->deadline) {
    activation_timer_ = loop_.after(kActivationCheckInterval, [this] { activate_when_ready(); });
    return;
  }
  if (without_list != next->pools.end() && pending_->deadline > 0)
    spdlog::warn("pool {} has no list yet, generation {} starts without it", (*without_list)->name(),
                 next->number);
  const std::vector<PoolConfig> pool_configs = std::move(pending_->pool_configs);
  pending_.reset();
  for (std::size_t n = 0; n < pool_configs.size(); ++n) {
    next->pools[n]->follow(pool_configs[n]);
    next->pools[n]->restore();
  }
  admissions_.switch_to(*snapshot_, *next);
  snapshot_ = next;
  host_.on_activated(next);
  for (const auto& pool : pools_) {
    if (std::find(next->pools.begin(), next->pools.end(), pool) == next->pools.end()) pool->retire();
  }
  spdlog::info("generation {} in force: {} pools, {} routes", next->number, next->pools.size(),
               next->routes ? next->routes->routes.size() : 0);
  remove_unused_pools();
}

// Removes pools that get no new requests and have none left. Runs from a timer, as a pool must not be
// destroyed within one of its own handlers.
void Generations::remove_unused_pools() {
  loop_.cancel(removal_timer_);
  const auto in_use = [this](const std::shared_ptr<Pool>& pool) {
    const auto in = [&pool](const RoutingSnapshot& snapshot) {
      return std::find(snapshot.pools.begin(), snapshot.pools.end(), pool) != snapshot.pools.end();
    };
    return in(*snapshot_) || (pending_ && in(*pending_->snapshot));
  };
  std::size_t left = 0;
  for (const auto& pool : pools_) left += in_use(pool) ? 0 : 1;
  if (left == 0) return;
  removal_timer_ = loop_.after(kRemovalCheckInterval, [this, in_use] {
    std::erase_if(pools_, [&](const std::shared_ptr<Pool>& pool) {
      // Earlier generations hold references to their pools for repeated requests.
      const bool done = !in_use(pool) && pool.use_count() == 1 && pool->idle();
      if (done) spdlog::info("pool {} removed", pool->name());
      if (done) attempts_of_removed_pools_ += pool->written();
      return done;
    });
    remove_unused_pools();
  });
}

}  // namespace shorelead::node
