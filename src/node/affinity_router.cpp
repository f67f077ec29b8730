#include "node/affinity_router.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <utility>

#include "node/pool.h"

namespace shorelead::node {
namespace {

using affinity::Go;
using affinity::Standing;
using affinity::To;
using affinity::Why;

constexpr int kMostWaiting = 1000;   // requests of this node that wait for slots
constexpr Millis kLookEvery = 10;    // after those that wait, or that may have to be called off
constexpr double kFirstPlan = 2;     // leases, for which a process that begins waits for its first plan
constexpr Millis kFeedEvery = 50;    // whether the list has changed
constexpr Millis kWarmEvery = 1000;  // and how warm backends are
constexpr std::array kWhyNames = {"kept",     "no_key", "no_map", "not_valid", "closed",    "unknown",
                                  "draining", "gone",   "full",   "repeat",    "queue_full"};
static_assert(kWhyNames.size() == affinity::kWhys);

Unit::Kind kind_of(To to) {
  return to == To::kBackend ? Unit::Kind::kBackend : to == To::kCell ? Unit::Kind::kCell : Unit::Kind::kZone;
}

std::optional<Standing> standing(Pool& pool, To to, const std::string& unit) {
  const std::optional<Seen> seen = pool.see(kind_of(to), unit);
  return seen ? std::optional(seen->standing) : std::nullopt;
}

// As the module has it (estimate/load.h): from its share when cold, evenly up to the whole.
double warmth(const Settings& settings, Millis born, Millis now) {
  if (settings.warm_up <= 0 || born <= 0 || now - born >= settings.warm_up) return 1;
  return settings.cold_share + (1 - settings.cold_share) * std::max(0.0, now - born) / settings.warm_up;
}

bool same(const affinity::BackendSeen& a, const affinity::BackendSeen& b) {
  return a.name == b.name && a.cell == b.cell && a.zone == b.zone && a.weight == b.weight &&
         a.warm == b.warm && a.draining == b.draining;
}

}  // namespace

const char* cause_of(Why why) {
  return why == Why::kQueueFull ? "too many wait for their boxes, trying again is harmless"
                                : "its box cannot be told now, trying again is harmless";
}

AffinityRouter::AffinityRouter(Loop& loop, const FleetConfig& fleet, fleet::Port& port,
                               std::function<void(RequestId)> again)
    : loop_(loop),
      port_(port),
      told_by_(loop.now() + kFirstPlan * fleet.sharing.lease),
      again_(std::move(again)),
      bindings_(fleet.affinity, kMostWaiting),
      planner_(std::make_shared<AffinityPlanner>(fleet.affinity)) {}

AffinityRouter::~AffinityRouter() {
  loop_.cancel(tick_);
  loop_.cancel(feed_);
}

void AffinityRouter::watch(const std::vector<std::shared_ptr<Pool>>& pools) {
  pools_.assign(pools.begin(), pools.end());
  fed_at_ = 0;
  loop_.cancel(feed_);
  feed_ = 0;
  if (!pools_.empty()) feed();
}

// What the planner sees: all backends of the list, once it is told. Who is out by hand is so at this node
// alone.
void AffinityRouter::feed() {
  feed_ = loop_.after(kFeedEvery, [this] { feed(); });
  std::uint64_t changes = 0;
  for (const auto& watched : pools_) {
    const std::shared_ptr<Pool> pool = watched.lock();
    if (!pool || !pool->told()) return;
    changes += pool->list_changes();
  }
  if (changes == seen_ && loop_.now() - fed_at_ < kWarmEvery) return;
  seen_ = changes;
  fed_at_ = loop_.now();
  std::vector<affinity::BackendSeen> backends;
  for (const auto& watched : pools_) {
    const std::shared_ptr<Pool> pool = watched.lock();
    for (const ListedBackend& one : pool->listed_backends()) {
      affinity::BackendSeen backend;
      backend.name = one.host;
      backend.zone = one.site;
      backend.cell = cell_name(one.site, one.cell);
      backend.pool = pool->name();
      backend.weight = one.size > 0 ? one.size : 1;
      backend.warm = affinity::warm_step(warmth(pool->config().settings, one.born, loop_.now()));
      backend.draining = one.health != "ready";
      backends.push_back(std::move(backend));
    }
  }
  std::sort(backends.begin(), backends.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
  if (ever_told_ && std::equal(backends.begin(), backends.end(), told_.begin(), told_.end(), same)) return;
  ever_told_ = true;
  told_ = backends;
  planner_->put(std::move(backends));
}

AffinityRouter::Said AffinityRouter::answer(const affinity::Bindings::Said& said,
                                            const std::shared_ptr<Pool>& pool) {
  Said out{said.go, said.why, {}, said.place};
  if (said.unit != nullptr) {
    // It was seen a moment ago, on this thread.
    const To to = said.to;
    out.home = pool->see(kind_of(to), *said.unit)->unit;
    out.home.required = said.go == Go::kOnly;
  }
  if (said.place >= 0) {
    const auto n = static_cast<std::size_t>(said.place);
    if (places_.size() <= n) places_.resize(n + 1);
    places_[n] = pool;
    if (tick_ == 0) tick_ = loop_.after(kLookEvery, [this] { look_after(); });
  }
  return out;
}

AffinityRouter::Said AffinityRouter::arrive(RequestId request, const affinity::Found& found,
                                            const std::shared_ptr<Pool>& pool, Millis due) {
  const Millis now = fleet::boot_now();
  const affinity::Bindings::Look look = [&pool](To to, const std::string& unit) {
    return standing(*pool, to, unit);
  };
  return answer(bindings_.arrive(request, found, valid(now), now + (due - loop_.now()), now, look), pool);
}

AffinityRouter::Said AffinityRouter::again(int place) {
  const Millis now = fleet::boot_now();
  const std::shared_ptr<Pool> pool = places_[static_cast<std::size_t>(place)].lock();
  const affinity::Bindings::Look look = [&pool](To to, const std::string& unit) {
    return standing(*pool, to, unit);
  };
  return answer(bindings_.again(place, valid(now), now, look), pool);
}

void AffinityRouter::leave(int place) {
  places_[static_cast<std::size_t>(place)].reset();
  bindings_.leave(place);
}

bool AffinityRouter::told() const { return port_.last() != nullptr || loop_.now() >= told_by_; }

bool AffinityRouter::may_send(int place) { return bindings_.may_send(place, valid(fleet::boot_now())); }

void AffinityRouter::over(int place) {
  places_[static_cast<std::size_t>(place)].reset();
  bindings_.over(place);
  quiet();
}

void AffinityRouter::quiet() {
  if (bindings_.quiet() && port_.last() != nullptr) port_.slots_quiet();
}

void AffinityRouter::take_up() {
  bindings_.take_up(*port_.last(), fleet::boot_now());
  quiet();
  if (!bindings_.busy()) return;
  // Not from within a request's handler.
  loop_.cancel(tick_);
  tick_ = loop_.after(0, [this] { look_after(); });
}

void AffinityRouter::look_after() {
  tick_ = bindings_.busy() ? loop_.after(kLookEvery, [this] { look_after(); }) : 0;
  const Millis now = fleet::boot_now();
  const auto anywhere = [this](To to, const std::string& unit) {
    std::optional<Standing> found;
    for (const auto& watched : pools_) {
      const std::shared_ptr<Pool> pool = watched.lock();
      if (pool && !found) found = standing(*pool, to, unit);
    }
    return found;
  };
  for (const int place : bindings_.call_off(valid(now), now, anywhere)) {
    const std::shared_ptr<Pool> pool = places_[static_cast<std::size_t>(place)].lock();
    if (pool) pool->call_off(bindings_.request_of(place));
  }
  const std::vector<int> waiting = bindings_.waiting();
  for (const int place : waiting) again_(bindings_.request_of(place));
}

void AffinityRouter::log_counters() const {
  for (std::size_t n = 0; n < bindings_.rules().size(); ++n) {
    const affinity::Bindings::Counters& c = bindings_.counters(n);
    std::string by;
    for (std::size_t why = 0; why < c.by.size(); ++why) {
      by.append(" ").append(kWhyNames[why]).append("=").append(std::to_string(c.by[why]));
    }
    spdlog::info("counters: affinity {}{} waited={} called_off={}", bindings_.rules()[n].name, by, c.waited,
                 c.called_off);
  }
  const AffinityPlannerCells& p = planner_->cells();
  spdlog::info("counters: affinity planner closed={} opened={} returned={} held={} waiting={}",
               p.closed.get(), p.opened.get(), p.returned.get(), p.held.get(), p.waiting.get());
}

}  // namespace shorelead::node
