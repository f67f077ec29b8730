#include "node/fleet_text.h"

#include <fmt/format.h>

#include "node/affinity_text.h"

namespace shorelead::node {

std::string describe(const fleet::Budget& budget) {
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

void add_fleet_fields(const FleetConfig& fleet, std::map<std::string, std::string>& fields) {
  std::string store;
  for (const auto& address : fleet.store) store.append(store.empty() ? "" : " ").append(address.toString());
  fields["fleet: store"] = store;
  fields["fleet: prefix"] = fleet.sharing.prefix;
  fields["fleet: processes"] = fmt::format("{}", fleet.sharing.most_processes);
  fields["fleet: lease"] = fmt::format("{} ms", fleet.sharing.lease);
  fields["fleet: drift"] = fmt::format("{} %", fleet.sharing.drift * 100);
  fields["fleet: client"] = fleet.client.empty() ? "none" : fleet.client;
  for (const fleet::Budget& budget : fleet.budgets) {
    const std::string name = "budget " + budget.name;
    fields[name] = describe(budget);
    std::string scope;
    const auto add = [&scope](const char* what, const std::string& of) {
      if (!of.empty()) scope += fmt::format("{}{} {}", scope.empty() ? "" : ", ", what, of);
    };
    add("pool", budget.scope.pool);
    add("route", budget.scope.route);
    add("class", budget.scope.request_class);
    add("tenant", budget.scope.tenant);
    fields[name + ": of"] = scope.empty() ? "all" : scope;
    fields[name + ": reserve"] = fmt::format("{} %", budget.reserve * 100);
    fields[name + ": least_part"] = fmt::format("{} %", budget.least_part * 100);
    fields[name + ": most_part"] = fmt::format("{} %", budget.most_part * 100);
  }
  for (const plans::PlanSpec& plan : fleet.plans) {
    fields["plan " + plan.name + ": rank"] = fmt::format("{}", plan.rank);
    fields["plan " + plan.name + ": floor"] = fmt::format("{} %", plan.floor * 100);
    for (const std::string& tenant : plan.tenants)
      fields["tenant " + tenant] = fmt::format("plan {}", plan.name);
    if (plan.is_default) fields["tenants that no plan names"] = fmt::format("plan {}", plan.name);
  }
  add_affinity_fields(fleet.affinity, fields);
}

}  // namespace shorelead::node
