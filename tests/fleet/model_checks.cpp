#include "fleet/model_checks.h"

#include <algorithm>
#include <cstdio>
#include <set>

#include "fleet/division.h"

namespace shorelead::fleet::model {

namespace {
constexpr double kNear = 1e-6;  // tolerance for sums of fractions
}

const Budget* Checks::of(BudgetKind kind) const {
  const auto it = std::find_if(budgets_.begin(), budgets_.end(),
                               [kind](const Budget& budget) { return budget.kind == kind; });
  return it == budgets_.end() ? nullptr : &*it;
}

void Checks::fail(const std::string& what) {
  if (broken_.empty()) broken_ = what;
}

// A token bucket that starts full is equivalent to the limit of rate x W + burst over every window; the rate
// allows for clocks that are fast by the drift bound.
void Checks::spent_rate(Millis at) {
  const Budget* budget = of(BudgetKind::kRate);
  if (tokens_ < 0) tokens_ = budget->burst;
  const double rate = budget->whole * (1 + sharing_.drift) / 1000;
  tokens_ = std::min(budget->burst, tokens_ + (at - tokens_at_) * rate) - 1;
  tokens_at_ = at;
  ++spent;
  if (tokens_ < -kNear) fail("rate: more than rate x W + burst at " + std::to_string(at));
}

void Checks::spent_attempt(Millis at) {
  const Budget* budget = of(BudgetKind::kAttempts);
  const Millis window = budget->window * (1 - sharing_.drift);
  attempts_.push_back(at);
  ++spent;
  while (attempts_.front() <= at - window) attempts_.pop_front();
  if (static_cast<double>(attempts_.size()) > budget->whole + kNear) {
    fail("attempts: " + std::to_string(attempts_.size()) + " in a window at " + std::to_string(at));
  }
}

void Checks::at_once_begins(Millis at, Millis ends) {
  const Budget* budget = of(BudgetKind::kAtOnce);
  std::erase_if(at_once_, [at](Millis end) { return end <= at; });
  at_once_.push_back(ends);
  ++spent;
  if (static_cast<double>(at_once_.size()) > budget->whole + kNear) {
    fail("at once: " + std::to_string(at_once_.size()) + " at " + std::to_string(at));
  }
}

void Checks::sends(int process, std::size_t slot, const std::string& backend, Millis at, Millis ends) {
  std::erase_if(sends_, [at](const Send& send) { return send.ends <= at; });
  ++sent;
  for (const Send& other : sends_) {
    if (other.slot == slot && other.backend != backend) {
      fail("slot " + std::to_string(slot) + ": " + backend + " by " + std::to_string(process) + " while " +
           other.backend + " by " + std::to_string(other.process) + " at " + std::to_string(at));
    }
  }
  sends_.push_back({process, slot, backend, ends});
}

void Checks::store(const Store& store) {
  ++looked;
  const StoreState& state = store.state;
  if (store.unfenced > 0) fail("a plan written by somebody who is not the planner");
  if (state.cluster != cluster_) plans_.clear();
  cluster_ = state.cluster;
  const bool counts =
      state.plan && state.plan_text == StoreState::Text::kGood && state.plan->history == state.cluster;
  const Plan* plan = counts ? &*state.plan : nullptr;
  std::map<std::string, const Record*> records;
  std::set<std::string> members;
  for (const auto& [name, stored] : state.records) {
    if (stored.blind) continue;
    records[stored.record.id.text()] = &stored.record;
    members.insert(stored.record.id.text());
  }
  if (plan != nullptr) {
    for (const auto& [id, parts] : plan->shares) members.insert(id);
  }
  for (const Budget& budget : budgets_) {
    Part sum;
    for (const std::string& id : members) {
      const auto it = records.find(id);
      const Part part = bound_of(plan, it == records.end() ? nullptr : it->second, id, budget.name);
      sum.amount += part.amount;
      sum.burst += part.burst;
    }
    const Part most = divisible(budget, sharing_);
    if (sum.amount > most.amount + kNear || sum.burst > most.burst + kNear) {
      fail("store: " + budget.name + " " + std::to_string(sum.amount) + "/" + std::to_string(sum.burst) +
           " of " + std::to_string(most.amount) + "/" + std::to_string(most.burst) + " at revision " +
           std::to_string(state.revision));
    }
  }
  if (plan != nullptr) {
    auto& known = plans_[plan->epoch];
    if (!known || *known != *plan) known = std::make_shared<const Plan>(*plan);
  }
  store_slots(store);
}

// For each slot at most one backend is open, over the current plan and the plans that records have in force.
void Checks::store_slots(const Store& store) {
  std::vector<const Plan*> plans;
  const StoreState& state = store.state;
  if (state.plan && state.plan->history == state.cluster) plans.push_back(&*state.plan);
  for (const auto& [name, stored] : state.records) {
    const auto it = plans_.find(stored.record.epoch);
    if (!stored.blind && it != plans_.end()) plans.push_back(it->second.get());
  }
  std::map<std::string, std::map<std::size_t, std::set<std::string>>> backends;
  for (const Plan* plan : plans) {
    for (const auto& [rule, map] : plan->affinity) {
      for (std::size_t i = 0; i < map.slots.size(); ++i) {
        if (map.slots[i].open) backends[rule][i].insert(map.slots[i].backend);
      }
    }
  }
  for (const auto& [rule, slots] : backends) {
    for (const auto& [slot, open] : slots) {
      if (open.size() > 1) fail("store: slot " + std::to_string(slot) + " open at two boxes");
    }
  }
}

}  // namespace shorelead::fleet::model
