#include "fleet/held_budgets.h"

#include <algorithm>
#include <utility>

#include "fleet/division.h"

namespace shorelead::fleet {

HeldBudgets::HeldBudgets(const Sharing& sharing, std::vector<Budget> budgets)
    : sharing_(sharing), budgets_(std::move(budgets)) {}

Parts HeldBudgets::own_parts(const Plan& plan, const MemberId& member) const {
  const auto given = plan.shares.find(member.text());
  return given == plan.shares.end() ? Parts{} : usable(given->second, plan.wholes, budgets_);
}

double HeldBudgets::in_use(const Budget& budget) const {
  const auto it = traffic_.in_use.find(budget.name);
  return it == traffic_.in_use.end() ? 0 : it->second;
}

Parts HeldBudgets::parts_to_record(const Parts& parts, const Parts& recorded) const {
  Parts used = parts;
  for (const Budget& budget : budgets_) {
    if (budget.kind != BudgetKind::kAtOnce) continue;
    const auto had = recorded.find(budget.name);
    if (had == recorded.end()) continue;
    const double still = std::min(had->second.amount, in_use(budget));
    if (still > 0) used[budget.name].amount = std::max(used[budget.name].amount, still);
  }
  return used;
}

bool HeldBudgets::over() const {
  if (!slots_quiet()) return false;
  return std::all_of(budgets_.begin(), budgets_.end(), [this](const Budget& budget) {
    return budget.kind != BudgetKind::kAtOnce || in_use(budget) <= 0;
  });
}

void HeldBudgets::publish(Snapshot next) {
  next.generation = now_.generation + 1;
  now_ = std::move(next);
  changed_ = std::make_shared<const Snapshot>(now_);
}

std::shared_ptr<const Snapshot> HeldBudgets::take_changed() { return std::exchange(changed_, nullptr); }

void HeldBudgets::lower_to(const Plan& plan, const MemberId& member) {
  Snapshot next = now_;
  const Parts parts = own_parts(plan, member);
  for (auto it = next.parts.begin(); it != next.parts.end();) {
    const auto given = parts.find(it->first);
    if (given == parts.end()) {
      it = next.parts.erase(it);
      continue;
    }
    it->second.amount = std::min(it->second.amount, given->second.amount);
    it->second.burst = std::min(it->second.burst, given->second.burst);
    ++it;
  }
  for (auto& [rule, map] : next.affinity) {
    const auto given = plan.affinity.find(rule);
    const bool same = given != plan.affinity.end() && given->second.slots.size() == map.slots.size();
    for (std::size_t i = 0; i < map.slots.size(); ++i) {
      Slot& slot = map.slots[i];
      slot.open =
          slot.open && same && given->second.slots[i].open && given->second.slots[i].backend == slot.backend;
    }
  }
  if (next.parts != now_.parts || next.affinity != now_.affinity) publish(std::move(next));
}

void HeldBudgets::put_in_force(const Plan& plan, const MemberId& member) {
  Snapshot next;
  next.incarnation = member.incarnation;
  next.epoch = plan.epoch;
  next.parts = own_parts(plan, member);
  next.cut_off = plan.cut_off;
  next.affinity = plan.affinity;
  publish(std::move(next));
}

void HeldBudgets::end() {
  if (!holds()) return;
  Snapshot next = now_;
  next.incarnation = 0;
  next.epoch = 0;
  next.parts.clear();
  for (auto& [rule, map] : next.affinity) {
    for (Slot& slot : map.slots) slot.open = false;
  }
  publish(std::move(next));
}

}  // namespace shorelead::fleet
