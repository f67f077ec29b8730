#include "node/fleet_admission.h"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <bit>
#include <numeric>
#include <utility>

#include "node/error_responses.h"
#include "plans/stable_sample.h"

namespace shorelead::node {
namespace {

constexpr Millis kSecond = 1000;
// The least part of the longest Retry-After that a client gets when a budget is spent; the rest is spread
// over clients, so that they do not retry at the same time.
constexpr double kMinRetryAfterShare = 0.25;
constexpr Millis kCutOffValidity = 2 * kSecond;  // of a cut-off read once a second

std::vector<int> ranks_of(const plans::Order& order, const FleetConfig& fleet) {
  std::vector<int> ranks(fleet.plans.empty() ? 0 : static_cast<std::size_t>(order.ranks()));
  std::iota(ranks.begin(), ranks.end(), 0);
  return ranks;
}

std::vector<double> worths_of(const Config& config) {
  std::vector<double> worths;
  for (const RequestClass& c : config.settings.classes) worths.push_back(c.worth);
  return worths;
}

struct WakeHandler : net::Watch::Handler {
  explicit WakeHandler(std::function<void()> wake) : wake(std::move(wake)) {}
  void on_readable() override { wake(); }
  std::function<void()> wake;
};

}  // namespace

FleetAdmission::FleetAdmission(Loop& loop, const FleetConfig& fleet, const Config& config,
                               const std::string& name, std::uint64_t seed,
                               const std::function<void(RequestId)>& reconsider)
    : loop_(loop),
      wall_offset_(loop.now() - fleet::boot_now()),
      fleet_(fleet),
      names_(names_of(config)),
      rules_(fleet, config),
      channel_(std::make_shared<fleet::Channel>(
          fleet.budgets.size(), ranks_of(plans::Order(fleet.plans, worths_of(config)), fleet))),
      port_(channel_, fleet.budgets, fleet.sharing),
      order_(fleet.plans, worths_of(config)),
      admission_(order_, plans::AdmissionSettings()),
      shedder_(order_.ranks(), plans::CutOffSettings(), seed),
      rank_counts_(order_.ranks()) {
  fleet::ControlSpec spec;
  spec.store.endpoints = fleet.store;
  spec.sharing = fleet.sharing;
  spec.budgets = fleet.budgets;
  spec.name = name;
  spec.zone = fleet.zone;
  spec.seed = seed;
  spec.log = [](const std::string& text) { spdlog::warn("fleet: {}", text); };
  if (!fleet.plans.empty()) {
    spec.shapers.push_back(
        std::make_shared<plans::CutOffShaper>(order_.ranks(), plans::CutOffSettings(), seed));
  }
  if (!fleet.affinity.empty()) {
    affinity_router_ = std::make_unique<AffinityRouter>(loop, fleet, port_, reconsider);
    spec.shapers.push_back(affinity_router_->planner());
  }
  cease_reserve();
  control_ = std::make_unique<fleet::Control>(spec, channel_);
  wake_fd_ = std::make_unique<net::Descriptor>(::dup(port_.wake_fd()));
  on_wake_ = std::make_unique<WakeHandler>([this] {
    channel_->for_traffic.reset();
    apply_snapshot();
  });
  watch_ = std::make_unique<net::Watch>(loop_, *wake_fd_, *on_wake_, true, false);
  each_second_timer_ = loop_.after(kSecond, [this] { each_second(); });
}

FleetAdmission::Names FleetAdmission::names_of(const Config& config) {
  Names names(3);
  for (const PoolConfig& pool : config.pools) names[0].push_back(pool.name);
  if (config.routes) {
    for (const routing::Route& route : config.routes->routes) names[1].push_back(route.name);
  }
  names[2] = config.host.classes;
  return names;
}

FleetAdmission::~FleetAdmission() {
  loop_.cancel(each_second_timer_);
  watch_.reset();
}

void FleetAdmission::apply_snapshot() {
  if (!port_.take_snapshot()) return;
  // Slots are handed over once nothing is in flight in them; without affinity rules nothing ever is.
  affinity_router_ ? affinity_router_->apply_snapshot() : port_.slots_quiet();
  if (const fleet::Snapshot* const now = port_.last()) spdlog::debug("fleet: epoch {} in force", now->epoch);
}

void FleetAdmission::each_second() {
  wall_offset_ = loop_.to_wall(loop_.now()) - fleet::boot_now();
  each_second_timer_ = loop_.after(kSecond, [this] { each_second(); });
  apply_snapshot();
  if (fleet_.plans.empty()) return;
  const Millis now = fleet::boot_now();
  if (const fleet::Snapshot* const valid = port_.valid(now))
    shedder_.set_plan_cut_off(valid->cut_off, now + kCutOffValidity);
  const auto loads = rank_counts_.since_last([this](int rank) { return cells_of(rank); });
  const fleet::CutOff next = shedder_.in_force(loads, channel_->traffic.room.get(), now);
  if (next == cut_off_) return;
  spdlog::info("fleet: in a shortage rank {} and {:.0f} % of it are refused, by {}", next.rank + 1,
               next.share * 100, shedder_.without_plan() ? "own counters" : "the plan");
  cut_off_ = next;
}

FleetAdmission::Verdict FleetAdmission::admit(const Request& request, Millis aim) {
  Verdict verdict;
  const Millis now = fleet::boot_now();
  // With key maps a snapshot takes long to apply, so that is done on wake-up and not on a request's path.
  if (!affinity_router_) apply_snapshot();
  // The same for all repeats of one client, and spread over clients; by the same reading of the clock as
  // above.
  const plans::StableSample sample(request.tenant, request.client, now + wall_offset_);
  if (!fleet_.plans.empty()) {
    const int plan = order_.plan_of(request.tenant);
    const int rank = order_.rank_of(plan, request.request_class);
    fleet::RankCells& cells = *port_.rank(rank);
    cells.offered.add(1);
    const plans::Verdict said = admission_.decide(cut_off_, plan, request.request_class, sample, now);
    if (!said.taken()) {
      cells.refused.add(1);
      verdict.refused = 503;
      verdict.cause = "a shortage of the fleet, trying again later is harmless";
      verdict.proxy_status = kProxyStatusShortage;
      verdict.retry_after = std::min(said.retry_after, request.max_retry_after);
      return verdict;
    }
    verdict.ticket.rank = rank;
    verdict.worth = 1 - rank / std::max(1.0, order_.ranks() - 1.0);
    verdict.ticket.aim_at = now + aim;
  }
  const std::uint64_t budgets =
      rules_.budgets_of(request.pool, request.route, request.request_class, request.tenant);
  for (std::uint64_t remaining = budgets; remaining != 0; remaining &= remaining - 1) {
    const auto budget = static_cast<std::size_t>(std::countr_zero(remaining));
    const fleet::BudgetKind kind = fleet_.budgets[budget].kind;
    if (kind == fleet::BudgetKind::kAttempts) continue;  // counted once all others admit it
    if (port_.spend(budget, now) != fleet::Spent::kYes) {
      ended(std::exchange(verdict.ticket, Ticket()), End::kClientGone);
      verdict.refused = 429;
      verdict.cause = "the fleet's budget is spent, trying again is harmless";
      verdict.proxy_status = kProxyStatusBudget;
      verdict.retry_after =
          request.max_retry_after * (kMinRetryAfterShare + (1 - kMinRetryAfterShare) * sample);
      return verdict;
    }
    if (kind == fleet::BudgetKind::kAtOnce) verdict.ticket.at_once |= std::uint64_t{1} << budget;
  }
  for (std::uint64_t remaining = budgets; remaining != 0; remaining &= remaining - 1) {
    const auto budget = static_cast<std::size_t>(std::countr_zero(remaining));
    if (fleet_.budgets[budget].kind == fleet::BudgetKind::kAttempts) port_.taken(budget, now);
  }
  if (verdict.ticket.rank >= 0) cells_of(verdict.ticket.rank)->taken.add(1);
  return verdict;
}

void FleetAdmission::ended(const Ticket& ticket, End end) {
  const Millis now = fleet::boot_now();
  for (std::uint64_t left = ticket.at_once; left != 0; left &= left - 1) {
    port_.end(static_cast<std::size_t>(std::countr_zero(left)), now);
  }
  fleet::RankCells* const cells = cells_of(ticket.rank);
  if (cells == nullptr) return;
  if (end == End::kServed && now <= ticket.aim_at) {
    cells->in_time.add(1);
  } else if (end != End::kClientGone || now > ticket.aim_at) {
    cells->failed.add(1);
  }
}

double FleetAdmission::retries_left(int pool) {
  apply_snapshot();
  const Millis now = fleet::boot_now();
  double least = std::numeric_limits<double>::infinity();
  for (std::uint64_t left = rules_.attempts_of(pool); left != 0; left &= left - 1) {
    least = std::min(least, port_.left(static_cast<std::size_t>(std::countr_zero(left)), now));
  }
  return least;
}

void FleetAdmission::count_retry(int pool) {
  const Millis now = fleet::boot_now();
  for (std::uint64_t left = rules_.attempts_of(pool); left != 0; left &= left - 1) {
    port_.spend(static_cast<std::size_t>(std::countr_zero(left)), now);
  }
}

Millis FleetAdmission::longest_hold() const {
  Millis longest = 0;
  for (const fleet::Budget& budget : fleet_.budgets) longest = std::max(longest, budget.hold);
  return longest;
}

void FleetAdmission::leave() { control_->leave(); }

void FleetAdmission::log_counters() const {
  const fleet::ControlCells& c = channel_->control;
  spdlog::info(
      "counters: fleet epoch={} planner={} joined={} ended={} lapsed={} epochs={} histories={} name_taken={} "
      "refused={} elections={} resigned={} plans={} held={} older={} calls={} calls_lost={} watches={} "
      "deaf={} unreadable={}",
      c.epoch.get(), c.elected.get(), c.joined.get(), c.ended.get(), c.lapsed.get(), c.epochs.get(),
      c.histories.get(), c.name_taken.get(), c.refused.get(), c.elections.get(), c.resigned.get(),
      c.plans.get(), c.held.get(), c.older.get(), c.calls.get(), c.calls_lost.get(), c.watches.get(),
      c.deaf.get(), c.unreadable.get());
  if (affinity_router_) affinity_router_->log_counters();
  const fleet::Snapshot* const last = port_.last();
  for (std::size_t b = 0; b < fleet_.budgets.size(); ++b) {
    const std::string& name = fleet_.budgets[b].name;
    const fleet::BudgetCells& cells = port_.cells().budgets[b];
    const auto part = last == nullptr ? fleet::Parts::const_iterator() : last->parts.find(name);
    const bool has = last != nullptr && part != last->parts.end();
    spdlog::info(
        "counters: budget {} part={:.3g} burst={:.3g} asked={} spent={} in_use={} bound_by_share={} "
        "bound_by_reserve={}",
        name, has ? part->second.amount : 0, has ? part->second.burst : 0, cells.asked.get(),
        cells.spent.get(), cells.in_use.get(), cells.bound_by_share.get(), cells.bound_by_reserve.get());
  }
  for (int rank = 0; !fleet_.plans.empty() && rank < order_.ranks(); ++rank) {
    const auto count = [&](plans::Admitted as) { return admission_.count(rank, as); };
    spdlog::info("counters: rank {} of plans taken={} floor={} order={} cut={} waits={}", rank + 1,
                 count(plans::Admitted::kAdmitted), count(plans::Admitted::kAdmittedForFloor),
                 count(plans::Admitted::kAdmittedForOrder), count(plans::Admitted::kRejected),
                 count(plans::Admitted::kRejectedForOrder));
  }
}

}  // namespace shorelead::node
