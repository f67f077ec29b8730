#include "node/generations.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace shorelead::node {
namespace {

constexpr Millis kListWait =
    3000;  // for the lists of new pools, before a generation comes in force without them
constexpr Millis kLookEvery = 10;   // whether they are there
constexpr Millis kSweepEvery = 50;  // whether pools that were left are done

}  // namespace

Generations::Generations(Loop& loop, FleetAdmissions& admissions, Host host)
    : loop_(loop), admissions_(admissions), host_(std::move(host)) {}

Generations::~Generations() {
  loop_.cancel(look_);
  loop_.cancel(sweep_);
}

void Generations::begin(const Config& config) { snapshot_ = make_snapshot(config).snapshot; }

void Generations::follow(const Config& config) {
  // What was pending is overtaken; its pools go on where the newer one has them as well.
  const std::vector<std::shared_ptr<Pool>> before = pools_;
  try {
    Pending made = make_snapshot(config);
    pending_ = std::move(made);
  } catch (...) {
    // Keys that are of no use are seen only when a pool is made.
    pools_ = before;
    throw;
  }
  for (const auto& pool : pools_) {
    if (std::find(before.begin(), before.end(), pool) == before.end()) host_.begin(*pool);
  }
  put_in_force();
  sweep_pools();
}

void Generations::adopt(const Config& config) {
  auto next = std::make_shared<RoutingSnapshot>(*snapshot_);
  ++next->number;
  next->classes = config.settings.classes;
  next->names = config.host.classes;
  next->tenants = config.host.tenants;
  next->routes = config.routes;
  PoolConfig told = next->pools.front()->config();
  told.discovery = config.discovery;
  told.settings = config.settings;
  told.host = config.host;
  next->class_in_pool = {next->pools.front()->adopt(told)};
  spdlog::info("configuration reloaded: discovery at {}, {} sockets, {} classes, {} attempts at most",
               config.discovery.toString(), config.limits.sockets, next->names.size(),
               config.settings.max_attempts);
  pending_ = Pending{next, {told}, 0};
  put_in_force();
}

// Pools that are told as they are now go on, under another name if need be; the others are made.
Generations::Pending Generations::make_snapshot(const Config& config) {
  Pending made;
  made.told = pools_of(config);
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->number = snapshot_ ? snapshot_->number + 1 : 1;
  snapshot->classes = config.settings.classes;
  snapshot->names = config.host.classes;
  snapshot->tenants = config.host.tenants;
  snapshot->routes = config.routes;
  std::vector<std::shared_ptr<Pool>> free = pools_;
  const auto claim = [&free](const auto& fits) {
    const auto it = std::find_if(free.begin(), free.end(), fits);
    if (it == free.end()) return std::shared_ptr<Pool>();
    const std::shared_ptr<Pool> pool = *it;
    free.erase(it);
    return pool;
  };
  snapshot->pools.resize(made.told.size());
  for (std::size_t n = 0; n < made.told.size(); ++n) {
    snapshot->pools[n] = claim(
        [&](const auto& pool) { return pool->name() == made.told[n].name && pool->serves_as(made.told[n]); });
  }
  for (std::size_t n = 0; n < made.told.size(); ++n) {
    const PoolConfig& told = made.told[n];
    const auto same_backends = [&](const auto& pool) {
      const bool source = told.discovery ? pool->config().discovery == told.discovery
                                         : pool->config().known.backends == told.known.backends;
      const bool named = std::any_of(made.told.begin(), made.told.end(),
                                     [&](const PoolConfig& other) { return other.name == pool->name(); });
      return !named && source && pool->serves_as(told);
    };
    if (!snapshot->pools[n]) snapshot->pools[n] = claim(same_backends);
    if (!snapshot->pools[n]) {
      snapshot->pools[n] = host_.make_pool(told, config);
      pools_.push_back(snapshot->pools[n]);
    }
    snapshot->class_in_pool.push_back(told.classes);
    snapshot->fallbacks.push_back(told.fallback);
  }
  snapshot->admission = admissions_.make(config, snapshot_.get());
  made.snapshot = std::move(snapshot);
  made.until = loop_.now() + kListWait;
  return made;
}

void Generations::put_in_force() {
  loop_.cancel(look_);
  if (!pending_) return;
  const std::shared_ptr<RoutingSnapshot> next = pending_->snapshot;
  const auto waits = [](const std::shared_ptr<Pool>& pool) { return !pool->has_current_list(); };
  const auto late = std::find_if(next->pools.begin(), next->pools.end(), waits);
  // Keys have no backend by a fleet admission that has no plan yet.
  const bool planless = next->admission && !next->admission->told();
  if ((late != next->pools.end() || planless) && loop_.now() < pending_->until) {
    look_ = loop_.after(kLookEvery, [this] { put_in_force(); });
    return;
  }
  if (late != next->pools.end() && pending_->until > 0)
    spdlog::warn("pool {} has no list yet, generation {} goes on without", (*late)->name(), next->number);
  const std::vector<PoolConfig> told = std::move(pending_->told);
  pending_.reset();
  for (std::size_t n = 0; n < told.size(); ++n) {
    next->pools[n]->follow(told[n]);
    next->pools[n]->restore();
  }
  admissions_.go_by(*snapshot_, *next);
  snapshot_ = next;
  host_.in_force(next);
  for (const auto& pool : pools_) {
    if (std::find(next->pools.begin(), next->pools.end(), pool) == next->pools.end()) pool->retire();
  }
  spdlog::info("generation {} in force: {} pools, {} routes", next->number, next->pools.size(),
               next->routes ? next->routes->routes.size() : 0);
  sweep_pools();
}

// Ends pools that nothing can come to any more and nothing is with. Never from within one of their handlers.
void Generations::sweep_pools() {
  loop_.cancel(sweep_);
  const auto wanted = [this](const std::shared_ptr<Pool>& pool) {
    const auto in = [&pool](const RoutingSnapshot& t) {
      return std::find(t.pools.begin(), t.pools.end(), pool) != t.pools.end();
    };
    return in(*snapshot_) || (pending_ && in(*pending_->snapshot));
  };
  std::size_t left = 0;
  for (const auto& pool : pools_) left += wanted(pool) ? 0 : 1;
  if (left == 0) return;
  sweep_ = loop_.after(kSweepEvery, [this, wanted] {
    std::erase_if(pools_, [&](const std::shared_ptr<Pool>& pool) {
      // Past generations hold theirs for repeats.
      const bool done = !wanted(pool) && pool.use_count() == 1 && pool->idle();
      if (done) spdlog::info("pool {} has ended", pool->name());
      if (done) written_by_ended_ += pool->written();
      return done;
    });
    sweep_pools();
  });
}

}  // namespace shorelead::node
