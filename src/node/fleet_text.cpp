#include "node/fleet_text.h"

#include <fmt/format.h>

#include "node/affinity_text.h"

namespace shorelead::node {

std::string words_of(const fleet::Budget& budget) {
  switch (budget.kind) {
    case fleet::BudgetKind::kRate:
      return fmt::format("{} requests a second and {} more in any span", budget.whole, budget.burst);
    case fleet::BudgetKind::kAtOnce:
      return fmt::format("{} requests under way at once", budget.whole);
    case fleet::BudgetKind::kAttempts:
      return fmt::format("{} further attempts and {} % of the requests in any {} s", budget.whole,
                         budget.ratio * 100, budget.window / 1000);
  }
  return "";
}

void fleet_facts(const FleetConfig& fleet, std::map<std::string, std::string>& facts) {
  std::string store;
  for (const auto& address : fleet.store) store.append(store.empty() ? "" : " ").append(address.toString());
  facts["fleet: store"] = store;
  facts["fleet: prefix"] = fleet.sharing.prefix;
  facts["fleet: processes"] = fmt::format("{}", fleet.sharing.most_processes);
  facts["fleet: lease"] = fmt::format("{} ms", fleet.sharing.lease);
  facts["fleet: drift"] = fmt::format("{} %", fleet.sharing.drift * 100);
  facts["fleet: client"] = fleet.client.empty() ? "none" : fleet.client;
  for (const fleet::Budget& budget : fleet.budgets) {
    const std::string name = "budget " + budget.name;
    facts[name] = words_of(budget);
    std::string scope;
    const auto add = [&scope](const char* what, const std::string& of) {
      if (!of.empty()) scope += fmt::format("{}{} {}", scope.empty() ? "" : ", ", what, of);
    };
    add("pool", budget.scope.pool);
    add("route", budget.scope.route);
    add("class", budget.scope.request_class);
    add("tenant", budget.scope.tenant);
    facts[name + ": of"] = scope.empty() ? "all" : scope;
    facts[name + ": reserve"] = fmt::format("{} %", budget.reserve * 100);
    facts[name + ": least_part"] = fmt::format("{} %", budget.least_part * 100);
    facts[name + ": most_part"] = fmt::format("{} %", budget.most_part * 100);
  }
  for (const plans::PlanSpec& plan : fleet.plans) {
    facts["plan " + plan.name + ": rank"] = fmt::format("{}", plan.rank);
    facts["plan " + plan.name + ": floor"] = fmt::format("{} %", plan.floor * 100);
    for (const std::string& tenant : plan.tenants)
      facts["tenant " + tenant] = fmt::format("plan {}", plan.name);
    if (plan.is_default) facts["tenants that no plan names"] = fmt::format("plan {}", plan.name);
  }
  affinity_facts(fleet.affinity, facts);
}

}  // namespace shorelead::node
