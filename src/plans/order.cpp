#include "plans/order.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace shorelead::plans {
namespace {

bool before(const RankStep& a, const RankStep& b) {
  return a.plan_rank != b.plan_rank ? a.plan_rank < b.plan_rank : a.worth > b.worth;
}

std::string quoted(const std::string& name) { return "\"" + name + "\""; }

}  // namespace

std::vector<std::string> faults_of(const std::vector<PlanSpec>& plans) {
  std::vector<std::string> faults;
  std::set<std::string> names;
  std::set<std::string> tenants;
  const PlanSpec* by_default = nullptr;
  for (const PlanSpec& plan : plans) {
    const std::string who = "plan " + quoted(plan.name);
    if (!names.insert(plan.name).second) faults.push_back(who + " is defined twice");
    if (plan.rank < 1) faults.push_back(who + ": a rank must be 1 (the highest) or more");
    if (!(plan.floor >= 0 && plan.floor <= 1)) faults.push_back(who + ": a floor must be from 0 to 100 %");
    for (const std::string& tenant : plan.tenants) {
      if (!tenants.insert(tenant).second)
        faults.push_back(who + ": tenant " + quoted(tenant) + " already has a plan");
    }
    if (!plan.is_default) continue;
    if (by_default) faults.push_back(who + ": plan " + quoted(by_default->name) + " is the default already");
    by_default = &plan;
  }
  return faults;
}

Order::Order(std::vector<PlanSpec> plans, std::vector<double> worths) : plans_(std::move(plans)) {
  if (plans_.empty()) plans_.emplace_back();
  if (worths.empty()) worths.push_back(1);
  for (double& worth : worths) worth = std::isfinite(worth) ? worth : 0;
  classes_ = static_cast<int>(worths.size());
  least_ = static_cast<int>(std::min_element(worths.begin(), worths.end()) - worths.begin());

  for (const PlanSpec& plan : plans_) {
    for (const double worth : worths) rank_steps_.push_back({plan.rank, worth});
  }
  std::sort(rank_steps_.begin(), rank_steps_.end(), before);
  rank_steps_.erase(std::unique(rank_steps_.begin(), rank_steps_.end()), rank_steps_.end());
  std::vector<double> steps = worths;
  std::sort(steps.begin(), steps.end(), std::greater<>());
  steps.erase(std::unique(steps.begin(), steps.end()), steps.end());
  for (const PlanSpec& plan : plans_) {
    for (const double worth : worths) {
      const auto rank_step =
          std::lower_bound(rank_steps_.begin(), rank_steps_.end(), RankStep{plan.rank, worth}, before);
      rank_of_.push_back(static_cast<int>(rank_step - rank_steps_.begin()));
      const auto step = std::lower_bound(steps.begin(), steps.end(), worth, std::greater<>());
      step_of_.push_back(static_cast<int>(step - steps.begin()));
    }
  }

  bool named = false;
  for (int n = 0; n < static_cast<int>(plans_.size()); ++n) {
    const PlanSpec& plan = plans_[static_cast<std::size_t>(n)];
    for (const std::string& tenant : plan.tenants) tenants_.emplace_back(tenant, n);
    if (plan.is_default && !named) {
      named = true;
      default_ = n;
    }
    if (!named && plan.rank >= plans_[static_cast<std::size_t>(default_)].rank) default_ = n;
  }
  const auto by_name = [](const auto& a, const auto& b) { return a.first < b.first; };
  std::stable_sort(tenants_.begin(), tenants_.end(), by_name);
}

int Order::plan_of(std::string_view tenant) const {
  const auto at =
      std::lower_bound(tenants_.begin(), tenants_.end(), tenant,
                       [](const auto& entry, std::string_view wanted) { return entry.first < wanted; });
  return at != tenants_.end() && at->first == tenant ? at->second : default_;
}

}  // namespace shorelead::plans
