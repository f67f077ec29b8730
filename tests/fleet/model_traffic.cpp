#include "fleet/model_traffic.h"

#include <algorithm>

#include "fleet/division.h"

namespace shorelead::fleet::model {

namespace {

constexpr int kMaxAttempts = 12;  // largest number of attempts per budget in one step

const Budget& of(const std::vector<Budget>& budgets, BudgetKind kind) {
  return *std::find_if(budgets.begin(), budgets.end(),
                       [kind](const Budget& budget) { return budget.kind == kind; });
}

Part reserve(const std::vector<Budget>& budgets, const Sharing& sharing, BudgetKind kind) {
  return reserve_of(of(budgets, kind), sharing);
}

}  // namespace

ProcessTraffic::ProcessTraffic(const std::vector<Budget>& budgets, const Sharing& sharing, int process,
                               Checks& checks)
    : budgets_(budgets),
      sharing_(sharing),
      process_(process),
      checks_(checks),
      latest_(std::make_shared<const Snapshot>()),
      snapshot_(latest_),
      rate_(reserve(budgets, sharing, BudgetKind::kRate)),
      at_once_(reserve(budgets, sharing, BudgetKind::kAtOnce).amount, of(budgets, BudgetKind::kAtOnce).hold),
      attempts_(reserve(budgets, sharing, BudgetKind::kAttempts).amount, 0,
                of(budgets, BudgetKind::kAttempts).window) {}

void ProcessTraffic::set_validity(std::uint64_t incarnation, Millis valid_until) {
  incarnation_ = incarnation;
  valid_until_ = valid_until;
}

Millis ProcessTraffic::valid_until() const {
  return snapshot_->incarnation != 0 && snapshot_->incarnation == incarnation_ ? valid_until_ : 0;
}

void ProcessTraffic::take_over(Millis now) {
  if (snapshot_ == latest_) return;
  const Millis valid = valid_until();
  // Another incarnation: first set all shares to nothing.
  if (latest_->incarnation != snapshot_->incarnation) {
    rate_.set({}, now, valid);
    at_once_.set(0);
    attempts_.set(0, now);
  }
  snapshot_ = latest_;
  const auto part = [this](BudgetKind kind) {
    const auto it = snapshot_->parts.find(of(budgets_, kind).name);
    return it == snapshot_->parts.end() ? Part{} : it->second;
  };
  rate_.set(part(BudgetKind::kRate), now, valid_until());
  at_once_.set(part(BudgetKind::kAtOnce).amount);
  attempts_.set(part(BudgetKind::kAttempts).amount, now);
}

void ProcessTraffic::end_what_is_over(Millis at) {
  std::erase_if(in_use_, [&](Millis ends) {
    if (ends <= at) at_once_.end();
    return ends <= at;
  });
  std::erase_if(sends_, [at](const RequestInFlight& send) { return send.ends <= at; });
}

void ProcessTraffic::spend(Millis now, Millis at, Random& random) {
  end_what_is_over(at);
  spend_counts(now, at, random);
  send_for_slots(now, at, random);
}

void ProcessTraffic::spend_counts(Millis now, Millis at, Random& random) {
  const int tries = static_cast<int>(random.below(kMaxAttempts));
  for (int i = 0; i < tries && rate_.spend(now, valid_until()) == Spent::kYes; ++i) checks_.spent_rate(at);
  for (int i = 0; i < tries && attempts_.spend(now, valid_until()) == Spent::kYes; ++i) {
    checks_.spent_attempt(at);
  }
  const Millis hold = of(budgets_, BudgetKind::kAtOnce).hold;
  for (int i = 0; i < tries / 2 && at_once_.spend(now, valid_until()) == Spent::kYes; ++i) {
    const Millis ends = at + hold * (0.1 + 0.9 * random.unit());
    in_use_.push_back(ends);
    checks_.at_once_begins(at, ends);
  }
}

void ProcessTraffic::send_for_slots(Millis now, Millis at, Random& random) {
  if (now >= valid_until()) return;
  for (const auto& [rule, map] : snapshot_->affinity) {
    for (std::size_t slot = 0; slot < map.slots.size(); ++slot) {
      if (!map.slots[slot].open || random.unit() < 0.3) continue;
      const Millis ends = at + sharing_.longest * (0.1 + 0.9 * random.unit());
      sends_.push_back({ends, rule, slot, map.slots[slot].backend});
      checks_.sends(process_, slot, map.slots[slot].backend, at, ends);
    }
  }
}

TrafficState ProcessTraffic::state(Millis now, Millis at) const {
  TrafficState state;
  state.generation = snapshot_->generation;
  for (const Budget& budget : budgets_) {
    state.demand[budget.name] = demand_;
    state.spent[budget.name] = demand_;
  }
  state.in_use[of(budgets_, BudgetKind::kAtOnce).name] = at_once_.beyond_reserve(now);
  state.slots_quiet = std::none_of(sends_.begin(), sends_.end(), [&](const RequestInFlight& send) {
    if (send.ends <= at) return false;
    const auto map = snapshot_->affinity.find(send.rule);
    return map == snapshot_->affinity.end() || send.slot >= map->second.slots.size() ||
           !map->second.slots[send.slot].open || map->second.slots[send.slot].backend != send.backend;
  });
  return state;
}

double ProcessTraffic::usable(const std::string& budget, Millis now) const {
  const auto it = snapshot_->parts.find(budget);
  return now < valid_until() && it != snapshot_->parts.end() ? it->second.amount : 0;
}

double ProcessTraffic::in_use() const { return static_cast<double>(in_use_.size()); }

}  // namespace shorelead::fleet::model
