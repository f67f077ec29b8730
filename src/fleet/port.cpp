#include "fleet/port.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "fleet/division.h"

namespace shorelead::fleet {
namespace {

constexpr Millis kPeakWindow = 500;

bool has_closed_slots(const Snapshot& snapshot) {
  for (const auto& [rule, map] : snapshot.affinity) {
    for (const Slot& slot : map.slots) {
      if (!slot.open) return true;
    }
  }
  return false;
}

}  // namespace

Port::Port(std::shared_ptr<Channel> channel, const std::vector<Budget>& budgets, const Sharing& sharing)
    : channel_(std::move(channel)), budgets_(budgets), peaks_(budgets.size()) {
  for (const Budget& budget : budgets_) {
    const Part reserve = reserve_of(budget, sharing);
    switch (budget.kind) {
      case BudgetKind::kRate:
        shares_.emplace_back(std::in_place_type<RateShare>, reserve);
        break;
      case BudgetKind::kAtOnce:
        shares_.emplace_back(std::in_place_type<AtOnceShare>, reserve.amount, budget.hold);
        break;
      case BudgetKind::kAttempts:
        shares_.emplace_back(std::in_place_type<AttemptShare>, reserve.amount, budget.ratio, budget.window);
    }
  }
}

void Port::set(std::size_t budget, const Part& part, Millis now, Millis valid_until) {
  Share& share = shares_[budget];
  if (auto* const rate = std::get_if<RateShare>(&share)) {
    rate->set(part, now, valid_until);
  } else if (auto* const at_once = std::get_if<AtOnceShare>(&share)) {
    at_once->set(part.amount);
  } else {
    std::get<AttemptShare>(share).set(part.amount, now);
  }
}

void Port::reserve_from(std::size_t budget, Millis from, Millis now) {
  Share& share = shares_[budget];
  if (auto* const rate = std::get_if<RateShare>(&share)) {
    rate->reserve_from(from, now, valid_until());
  } else if (auto* const at_once = std::get_if<AtOnceShare>(&share)) {
    at_once->reserve_from(from);
    count_in_use(budget, now);
  } else {
    std::get<AttemptShare>(share).reserve_from(from);
  }
}

void Port::cease_reserve(Millis now) {
  for (std::size_t n = 0; n < shares_.size(); ++n) {
    reserve_from(n, std::numeric_limits<Millis>::infinity(), now);
  }
}

void Port::begin_reserve(Millis now, Millis before) {
  for (std::size_t n = 0; n < shares_.size(); ++n) {
    // Only units of a concurrency budget stay in use after they were spent.
    const bool lasts = budgets_[n].kind == BudgetKind::kAtOnce;
    reserve_from(n, now + (lasts ? std::max(0.0, before - budgets_[n].hold) : 0), now);
  }
}

bool Port::take_snapshot() {
  const Millis until_now = valid_until();
  if (!channel_->issues.take()) return false;
  const Millis now = boot_now();
  const Snapshot& next = *issue()->snapshot;
  const bool another = next.incarnation != incarnation_;
  for (std::size_t n = 0; n < budgets_.size(); ++n) {
    const auto part = next.parts.find(budgets_[n].name);
    // Another incarnation: tokens saved by the previous one do not belong to it.
    if (another) set(n, {}, now, until_now);
    set(n, part == next.parts.end() ? Part{} : part->second, now, another ? valid_until() : until_now);
    count_in_use(n, now);
  }
  incarnation_ = next.incarnation;
  // Before the generation, so that a reader of the generation finds the matching state of the slots.
  if (!has_closed_slots(next)) channel_->traffic.slots_quiet.store_release(next.generation);
  channel_->traffic.generation.store_release(next.generation);
  channel_->for_control.notify();
  return true;
}

Spent Port::spend(std::size_t budget, Millis now) {
  const Millis until = valid_until();
  Share& share = shares_[budget];
  Spent spent = Spent::kShare;
  if (auto* const rate = std::get_if<RateShare>(&share)) {
    spent = rate->spend(now, until);
  } else if (auto* const at_once = std::get_if<AtOnceShare>(&share)) {
    spent = at_once->spend(now, until);
    if (spent == Spent::kYes) count_in_use(budget, now);
  } else {
    spent = std::get<AttemptShare>(share).spend(now, until);
  }
  BudgetCells& cells = channel_->traffic.budgets[budget];
  cells.asked.add(1);
  (spent == Spent::kYes     ? cells.spent
   : spent == Spent::kShare ? cells.bound_by_share
                            : cells.bound_by_reserve)
      .add(1);
  return spent;
}

void Port::end(std::size_t budget, Millis now) {
  if (auto* const share = std::get_if<AtOnceShare>(&shares_[budget])) {
    share->end();
    count_in_use(budget, now);
  }
}

void Port::taken(std::size_t budget, Millis now) {
  if (auto* const share = std::get_if<AttemptShare>(&shares_[budget])) share->taken(now);
}

double Port::left(std::size_t budget, Millis now) {
  auto* const share = std::get_if<AttemptShare>(&shares_[budget]);
  return share == nullptr ? 0 : share->left(now, valid_until());
}

void Port::count_in_use(std::size_t budget, Millis now) {
  const auto* const share = std::get_if<AtOnceShare>(&shares_[budget]);
  if (share == nullptr) return;
  BudgetCells& cells = channel_->traffic.budgets[budget];
  Peak& peak = peaks_[budget];
  if (now - peak.began > kPeakWindow) peak = {now, 0, now - peak.began > 2 * kPeakWindow ? 0 : peak.now};
  peak.now = std::max(peak.now, static_cast<double>(share->in_use()));
  cells.in_use.set(share->in_use());
  cells.beyond_reserve.set(share->beyond_reserve(now));
  cells.peak.set(std::max(peak.now, peak.before));
  cells.peak_at.set(now);
}

const Snapshot* Port::valid(Millis now) const { return now < valid_until() ? last() : nullptr; }

void Port::slots_quiet() { channel_->traffic.slots_quiet.store_release(channel_->traffic.generation.get()); }

RankCells* Port::rank(int rank) {
  TrafficCells& cells = channel_->traffic;
  const auto same = static_cast<std::size_t>(rank);  // fast path: ranks are usually numbered 0, 1, 2, ...
  if (same < cells.ranks.size() && cells.ranks[same] == rank) return &cells.loads[same];
  for (std::size_t n = 0; n < cells.ranks.size(); ++n) {
    if (cells.ranks[n] == rank) return &cells.loads[n];
  }
  return nullptr;
}

}  // namespace shorelead::fleet
