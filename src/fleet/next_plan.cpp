// Limits the targets of a division to what the invariant of plan.h allows, and decides whether the plan is
// worth a write.
#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

#include "fleet/division.h"

namespace shorelead::fleet {
namespace {

constexpr double kMinChange = 0.05;        // fraction of an equal part; a smaller change is not worth a write
constexpr double kHighUse = 0.9;           // a demand above this fraction of what it may spend can use more
constexpr std::uint64_t kMaxEpoch = 1e15;  // a record that reports more is wrong
constexpr double kTolerance = 1e-9;        // for rounding errors

// The smallest unassigned amount, of `most` divisible, that is worth assigning.
double min_assignable(double most, bool units) {
  return std::max(units ? 1.0 : 0.0, kMinChange * most) - kTolerance;
}

struct Member {
  std::string id;
  const Record* record;        // null: recently departed
  const Parts* had = nullptr;  // what a departed member may still use
};

// One value (amount or burst) of one budget for all members.
struct Column {
  std::vector<double> old, bound, aim, next;
  double most = 0;
  bool units = false;  // whole units only

  double sum(const std::vector<double>& values) const {
    return std::accumulate(values.begin(), values.end(), 0.0);
  }

  // Always lowers; raises in proportion from what no member has or may still have.
  void cut(bool may_raise) {
    next = aim;
    double wanted = 0;
    for (std::size_t n = 0; n < aim.size(); ++n) wanted += std::max(0.0, aim[n] - bound[n]);
    const double free = std::max(0.0, most - sum(bound) + (units ? kTolerance : 0));
    const double share = !may_raise || wanted <= 0 ? 0 : std::min(1.0, free / wanted);
    double given = 0, due = 0;
    for (std::size_t n = 0; n < aim.size(); ++n) {
      if (aim[n] <= bound[n]) continue;
      due += (aim[n] - bound[n]) * share;
      const double to = bound[n] + (aim[n] - bound[n]) * share;
      const double raise =
          units ? std::floor(due + kTolerance) - given : std::max(0.0, grained(to, most) - bound[n]);
      given += raise;
      next[n] = bound[n] + raise;
    }
  }
  // Newly assigned: the sum of all raises above the bounds.
  double newly_assigned() const {
    double sum = 0;
    for (std::size_t n = 0; n < next.size(); ++n) sum += std::max(0.0, next[n] - bound[n]);
    return sum;
  }
  double moved() const {
    double sum = 0;
    for (std::size_t n = 0; n < next.size(); ++n) sum += std::abs(next[n] - old[n]);
    return sum;
  }
};

// Adds one budget's next parts to `plan`. Returns whether they are worth a write.
bool next_parts(const Budget& budget, const PlannerInput& input, const std::vector<Member>& members,
                std::uint64_t turn, Plan& plan) {
  const bool rate = budget.kind == BudgetKind::kRate;
  const Plan* const standing = input.plan ? &*input.plan : nullptr;
  const Part all = divisible(budget, input.sharing);
  const std::vector<Part> aims = divide(budget, input.sharing, input.records, turn);
  Column amount, burst;
  amount.most = all.amount;
  amount.units = !rate;
  burst.most = all.burst;
  burst.units = true;
  const double reserve = reserve_of(budget, input.sharing).amount;
  const double equal = all.amount / static_cast<double>(std::max<std::size_t>(1, members.size()));
  const double worth = rate ? kMinChange * equal : std::max(1.0, kMinChange * equal);
  bool pressed = false;
  bool idle = false;
  for (std::size_t n = 0; n < members.size(); ++n) {
    const Member& m = members[n];
    const Part old = bound_of(standing, nullptr, m.id, budget.name);
    Part bound = bound_of(standing, m.record, m.id, budget.name);
    if (m.record == nullptr && budget.kind != BudgetKind::kAtOnce) bound = {};
    if (m.record == nullptr && budget.kind == BudgetKind::kAtOnce) {
      const auto had = m.had->find(budget.name);
      if (had != m.had->end()) bound.amount = std::max(bound.amount, had->second.amount);
    }
    const Part aim = m.record != nullptr ? aims[n] : bound;
    amount.old.push_back(old.amount);
    amount.bound.push_back(bound.amount);
    amount.aim.push_back(aim.amount);
    burst.old.push_back(old.burst);
    burst.bound.push_back(bound.burst);
    burst.aim.push_back(aim.burst);
    if (m.record == nullptr) continue;
    const auto demand = m.record->demand.find(budget.name);
    const double asked = demand == m.record->demand.end() ? 0 : demand->second;
    const bool wants = aim.amount - old.amount >= std::max(worth, kMinChange * old.amount) - kTolerance;
    if (old.amount <= 0 && wants) idle = true;
    if (asked > 0 && asked >= kHighUse * (old.amount + reserve) && wants) pressed = true;
  }
  // A member without demand is raised from what is free, but no other member is lowered for it.
  pressed = pressed || (idle && amount.most - amount.sum(amount.bound) >= worth);
  amount.cut(input.may_raise && !(input.at_once_waits && budget.kind == BudgetKind::kAtOnce));
  burst.cut(input.may_raise);
  for (std::size_t n = 0; n < members.size(); ++n) {
    Part part{amount.next[n], rate ? burst.next[n] : 0};
    if (rate && part.burst < 1) part = {};
    if (part.amount > 0) plan.shares[members[n].id][budget.name] = part;
  }
  const bool over = amount.sum(amount.bound) > amount.most * (1 + kTolerance) + kTolerance ||
                    burst.sum(burst.bound) > burst.most + kTolerance;
  const bool moves = amount.moved() >= worth - kTolerance || (rate && burst.moved() >= 1);
  // An earlier plan left this unassigned until it was known to be free; it is assigned even without demand.
  const bool assigns_free = amount.newly_assigned() >= min_assignable(amount.most, amount.units);
  return (over && amount.moved() + burst.moved() > 0) || (pressed && moves) || assigns_free;
}

}  // namespace

std::optional<Plan> next_plan(const PlannerInput& input, std::uint64_t turn) {
  Plan next;
  std::vector<Member> members;
  std::set<std::string> here;
  for (const Record& r : input.records) {
    members.push_back({r.id.text(), &r, nullptr});
    here.insert(members.back().id);
    if (r.epoch < kMaxEpoch) next.epoch = std::max(next.epoch, r.epoch);
  }
  if (input.plan) {
    for (const auto& [id, parts] : input.plan->shares) {
      const auto gone = input.recently_departed.find(id);
      if (here.count(id) == 0 && gone != input.recently_departed.end())
        members.push_back({id, nullptr, &gone->second});
    }
    next.cut_off = input.plan->cut_off;
    next.affinity = input.plan->affinity;
    next.epoch = input.plan->epoch;
  }
  ++next.epoch;
  next.fence = input.fence;
  bool worth = !input.plan || input.plan->shares.size() != members.size();
  for (const Member& m : members) {
    next.shares[m.id];
    worth = worth || input.plan->shares.count(m.id) == 0;
  }
  for (const Budget& b : input.budgets) {
    next.wholes[b.name] = {b.whole, b.kind == BudgetKind::kRate ? b.burst : 0};
    worth = next_parts(b, input, members, turn, next) || worth;
  }
  worth = worth || next.wholes != input.plan->wholes;
  if (!worth) return std::nullopt;
  return next;
}

bool unfinished(const Plan& plan, const std::vector<Budget>& budgets, const Sharing& sharing) {
  for (const auto& [rule, map] : plan.affinity) {
    if (std::any_of(map.slots.begin(), map.slots.end(), [](const Slot& slot) { return !slot.open; }))
      return true;
  }
  return !plan.shares.empty() && std::any_of(budgets.begin(), budgets.end(), [&](const Budget& budget) {
    const Part all = divisible(budget, sharing);
    double given = 0;
    for (const auto& [member, parts] : plan.shares)
      given += bound_of(&plan, nullptr, member, budget.name).amount;
    return all.amount - given >= min_assignable(all.amount, budget.kind != BudgetKind::kRate);
  });
}

}  // namespace shorelead::fleet
