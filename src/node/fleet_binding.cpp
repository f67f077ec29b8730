#include "node/fleet_binding.h"

#include <algorithm>
#include <cctype>

#include "node/affinity_binding.h"
#include "node/section_fields.h"

namespace shorelead::node {
namespace {

using language::Section;

fleet::Budget budget_of(const Section& section) {
  fleet::Budget budget;
  budget.name = section.name;
  const std::string kind = section.word("kind");
  if (kind == "rate") {
    budget.kind = fleet::BudgetKind::kRate;
    budget.whole = *section.number("rate");
    budget.burst = *section.number("burst");
  } else if (kind == "at_once") {
    budget.kind = fleet::BudgetKind::kAtOnce;
    budget.whole = *section.number("most");
  } else {
    budget.kind = fleet::BudgetKind::kAttempts;
    budget.whole = *section.number("few");
    budget.ratio = section.number("ratio").value_or(0);
    budget.window = *section.number("window");
  }
  budget.reserve = section.number("reserve").value_or(budget.reserve);
  budget.least_part = section.number("least_part").value_or(budget.least_part);
  budget.most_part = section.number("most_part").value_or(budget.most_part);
  budget.scope = {section.word("pool"), section.word("route"), section.word("class"), section.word("tenant")};
  return budget;
}

plans::PlanSpec plan_of(const Section& section) {
  plans::PlanSpec plan;
  plan.name = section.name;
  plan.rank = static_cast<int>(*section.number("rank"));
  plan.floor = section.number("floor").value_or(0);
  const auto tenants = section.words.find("tenants");
  if (tenants != section.words.end()) plan.tenants = tenants->second;
  plan.is_default = section.number("default").value_or(0) > 0;
  return plan;
}

// Returns how long a request can occupy a unit of a concurrency budget: the longest deadline of the classes
// that the budget applies to.
Millis longest_deadline(const fleet::Budget& budget, const Config& config) {
  Millis longest = 0;
  for (std::size_t n = 0; n < config.settings.classes.size(); ++n) {
    if (!budget.scope.request_class.empty() && budget.scope.request_class != config.host.classes[n]) continue;
    longest = std::max(longest, config.settings.classes[n].deadline);
  }
  return longest;
}

}  // namespace

std::optional<FleetConfig> fleet_of(const language::Document& document, const Config& config) {
  const Section* const section = document.find("fleet");
  if (section == nullptr) return std::nullopt;
  FleetConfig fleet;
  for (const std::string& one : section->words.at("store")) {
    fleet.store.push_back(numeric_address(*section, "store", one));
  }
  fleet.sharing.prefix = section->word("prefix");
  fleet.sharing.most_processes = static_cast<int>(*section->number("processes"));
  fleet.sharing.lease = section->number("lease").value_or(fleet.sharing.lease);
  fleet.sharing.drift = section->number("drift").value_or(fleet.sharing.drift);
  fleet.client = to_lower(section->word("client"));
  fleet.zone = document.find("node")->word("zone");
  for (const Section& one : document.sections) {
    if (one.block->name == "budget") fleet.budgets.push_back(budget_of(one));
    if (one.block->name == "plan") fleet.plans.push_back(plan_of(one));
  }
  // The most specific budgets are checked first, so that a request they refuse spends nothing of broader
  // ones.
  const auto specificity = [](const fleet::Budget& b) {
    return !b.scope.pool.empty() + !b.scope.route.empty() + !b.scope.request_class.empty() +
           2 * !b.scope.tenant.empty();
  };
  std::stable_sort(
      fleet.budgets.begin(), fleet.budgets.end(),
      [&](const fleet::Budget& a, const fleet::Budget& b) { return specificity(a) > specificity(b); });
  for (fleet::Budget& budget : fleet.budgets) {
    if (budget.kind == fleet::BudgetKind::kAtOnce) budget.hold = longest_deadline(budget, config);
  }
  fleet.affinity = affinity_of(document, config, fleet);
  fleet.sharing.longest = longest_keyed_request(fleet.affinity, config, fleet);
  return fleet;
}

}  // namespace shorelead::node
