#include "node/affinity_router.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <utility>

#include "node/pool.h"

namespace shorelead::node {
namespace {

using affinity::RoutingAction;
using affinity::RoutingReason;
using affinity::Scope;
using affinity::UnitStatus;

constexpr int kMaxWaiting = 1000;               // requests of this process that wait for slots
constexpr Millis kCheckInterval = 10;           // of requests that wait, or that may have to be cancelled
constexpr double kFirstPlanLeases = 2;          // leases that a new process waits for its first plan
constexpr Millis kListCheckInterval = 50;       // for changes of the endpoint lists
constexpr Millis kWarmthUpdateInterval = 1000;  // warmth changes without a change of the list
constexpr std::array kReasonNames = {"kept",     "no_key", "no_map", "not_valid", "closed",    "unknown",
                                     "draining", "gone",   "full",   "repeat",    "queue_full"};
static_assert(kReasonNames.size() == affinity::kRoutingReasons);

Unit::Kind kind_of(Scope to) {
  return to == Scope::kBackend ? Unit::Kind::kBackend
         : to == Scope::kCell  ? Unit::Kind::kCell
                               : Unit::Kind::kZone;
}

std::optional<UnitStatus> status_of(Pool& pool, Scope to, const std::string& unit) {
  const std::optional<UnitState> seen = pool.find_unit(kind_of(to), unit);
  return seen ? std::optional(seen->status) : std::nullopt;
}

// The same ramp as the decision module's (estimate/load.h): linear from the cold share up to 1.
double warmth(const Settings& settings, Millis born, Millis now) {
  if (settings.warm_up <= 0 || born <= 0 || now - born >= settings.warm_up) return 1;
  return settings.cold_share + (1 - settings.cold_share) * std::max(0.0, now - born) / settings.warm_up;
}

bool same(const affinity::BackendStatus& a, const affinity::BackendStatus& b) {
  return a.name == b.name && a.cell == b.cell && a.zone == b.zone && a.weight == b.weight &&
         a.warm == b.warm && a.draining == b.draining;
}

}  // namespace

const char* cause_of(RoutingReason reason) {
  return reason == RoutingReason::kQueueFull ? "too many wait for their boxes, trying again is harmless"
                                             : "its box cannot be told now, trying again is harmless";
}

AffinityRouter::AffinityRouter(Loop& loop, const FleetConfig& fleet, fleet::Port& port,
                               std::function<void(RequestId)> reconsider)
    : loop_(loop),
      port_(port),
      first_plan_by_(loop.now() + kFirstPlanLeases * fleet.sharing.lease),
      reconsider_(std::move(reconsider)),
      bindings_(fleet.affinity, kMaxWaiting),
      planner_(std::make_shared<AffinityPlanner>(fleet.affinity)) {}

AffinityRouter::~AffinityRouter() {
  loop_.cancel(check_timer_);
  loop_.cancel(planner_timer_);
}

void AffinityRouter::watch(const std::vector<std::shared_ptr<Pool>>& pools) {
  pools_.assign(pools.begin(), pools.end());
  sent_at_ = 0;
  loop_.cancel(planner_timer_);
  planner_timer_ = 0;
  if (!pools_.empty()) update_planner();
}

// Sends the planner all listed backends, once every pool has its list. Bans are left out: they apply to this
// node alone, while the plan is the fleet's.
void AffinityRouter::update_planner() {
  planner_timer_ = loop_.after(kListCheckInterval, [this] { update_planner(); });
  std::uint64_t changes = 0;
  for (const auto& watched : pools_) {
    const std::shared_ptr<Pool> pool = watched.lock();
    if (!pool || !pool->has_current_list()) return;
    changes += pool->list_changes();
  }
  if (changes == list_changes_ && loop_.now() - sent_at_ < kWarmthUpdateInterval) return;
  list_changes_ = changes;
  sent_at_ = loop_.now();
  std::vector<affinity::BackendStatus> backends;
  for (const auto& watched : pools_) {
    const std::shared_ptr<Pool> pool = watched.lock();
    for (const ListedBackend& one : pool->listed_backends()) {
      affinity::BackendStatus backend;
      backend.name = one.host;
      backend.zone = one.site;
      backend.cell = cell_name(one.site, one.cell);
      backend.pool = pool->name();
      backend.weight = one.size > 0 ? one.size : 1;
      backend.warm = affinity::warm_step(warmth(pool->config().settings, one.started, loop_.now()));
      backend.draining = one.health != "ready";
      backends.push_back(std::move(backend));
    }
  }
  std::sort(backends.begin(), backends.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
  if (ever_sent_ &&
      std::equal(backends.begin(), backends.end(), sent_to_planner_.begin(), sent_to_planner_.end(), same))
    return;
  ever_sent_ = true;
  sent_to_planner_ = backends;
  planner_->put(std::move(backends));
}

AffinityRouter::Decision AffinityRouter::decision_of(const affinity::Bindings::RoutingResult& result,
                                                     const std::shared_ptr<Pool>& pool) {
  Decision decision{result.action, result.reason, {}, result.place};
  if (result.unit != nullptr) {
    // The unit is known: it was looked up a moment ago, on this thread.
    const Scope to = result.to;
    decision.home = pool->find_unit(kind_of(to), *result.unit)->unit;
    decision.home.required = result.action == RoutingAction::kOnly;
  }
  if (result.place >= 0) {
    const auto n = static_cast<std::size_t>(result.place);
    if (places_.size() <= n) places_.resize(n + 1);
    places_[n] = pool;
    if (check_timer_ == 0) check_timer_ = loop_.after(kCheckInterval, [this] { check_places(); });
  }
  return decision;
}

AffinityRouter::Decision AffinityRouter::route(RequestId request, const affinity::RuleMatch& found,
                                               const std::shared_ptr<Pool>& pool, Millis due) {
  const Millis now = fleet::boot_now();
  const affinity::Bindings::StatusLookup find_status = [&pool](Scope to, const std::string& unit) {
    return status_of(*pool, to, unit);
  };
  return decision_of(
      bindings_.arrive(request, found, valid(now), now + (due - loop_.now()), now, find_status), pool);
}

AffinityRouter::Decision AffinityRouter::reconsider(int place) {
  const Millis now = fleet::boot_now();
  const std::shared_ptr<Pool> pool = places_[static_cast<std::size_t>(place)].lock();
  const affinity::Bindings::StatusLookup find_status = [&pool](Scope to, const std::string& unit) {
    return status_of(*pool, to, unit);
  };
  return decision_of(bindings_.reconsider(place, valid(now), now, find_status), pool);
}

void AffinityRouter::leave(int place) {
  places_[static_cast<std::size_t>(place)].reset();
  bindings_.leave(place);
}

bool AffinityRouter::plan_settled() const { return port_.last() != nullptr || loop_.now() >= first_plan_by_; }

bool AffinityRouter::may_send(int place) { return bindings_.may_send(place, valid(fleet::boot_now())); }

void AffinityRouter::release(int place) {
  places_[static_cast<std::size_t>(place)].reset();
  bindings_.release(place);
  report_quiet_slots();
}

void AffinityRouter::report_quiet_slots() {
  if (bindings_.quiet() && port_.last() != nullptr) port_.slots_quiet();
}

void AffinityRouter::apply_snapshot() {
  bindings_.apply_snapshot(*port_.last(), fleet::boot_now());
  report_quiet_slots();
  if (!bindings_.busy()) return;
  // Deferred, as this may run within a request's handler.
  loop_.cancel(check_timer_);
  check_timer_ = loop_.after(0, [this] { check_places(); });
}

void AffinityRouter::check_places() {
  check_timer_ = bindings_.busy() ? loop_.after(kCheckInterval, [this] { check_places(); }) : 0;
  const Millis now = fleet::boot_now();
  const auto anywhere = [this](Scope to, const std::string& unit) {
    std::optional<UnitStatus> found;
    for (const auto& watched : pools_) {
      const std::shared_ptr<Pool> pool = watched.lock();
      if (pool && !found) found = status_of(*pool, to, unit);
    }
    return found;
  };
  for (const int place : bindings_.cancel_due(valid(now), now, anywhere)) {
    const std::shared_ptr<Pool> pool = places_[static_cast<std::size_t>(place)].lock();
    if (pool) pool->cancel(bindings_.request_of(place));
  }
  const std::vector<int> waiting = bindings_.waiting();
  for (const int place : waiting) reconsider_(bindings_.request_of(place));
}

void AffinityRouter::log_counters() const {
  for (std::size_t n = 0; n < bindings_.rules().size(); ++n) {
    const affinity::Bindings::Counters& c = bindings_.counters(n);
    std::string by;
    for (std::size_t reason = 0; reason < c.by.size(); ++reason) {
      by.append(" ").append(kReasonNames[reason]).append("=").append(std::to_string(c.by[reason]));
    }
    spdlog::info("counters: affinity {}{} waited={} called_off={}", bindings_.rules()[n].name, by, c.waited,
                 c.cancelled);
  }
  const AffinityPlannerCells& p = planner_->cells();
  spdlog::info("counters: affinity planner closed={} opened={} returned={} held={} waiting={}",
               p.closed.get(), p.opened.get(), p.returned.get(), p.held.get(), p.waiting.get());
}

}  // namespace shorelead::node
