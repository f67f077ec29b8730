#include "node/fleet_rules.h"

#include <algorithm>

namespace shorelead::node {
namespace {

// For each name, the budgets whose scope is this name or is not restricted.
std::vector<std::uint64_t> masks_of(const FleetConfig& fleet, const std::vector<std::string>& names,
                                    std::string fleet::BudgetScope::*scope) {
  std::vector<std::uint64_t> masks(names.size(), 0);
  for (std::size_t b = 0; b < fleet.budgets.size(); ++b) {
    const std::string& wanted = fleet.budgets[b].scope.*scope;
    for (std::size_t n = 0; n < names.size(); ++n) {
      if (wanted.empty() || wanted == names[n]) masks[n] |= std::uint64_t{1} << b;
    }
  }
  return masks;
}

}  // namespace

FleetRules::FleetRules(const FleetConfig& fleet, const Config& config) {
  std::vector<std::string> pools, routes;
  for (const PoolConfig& pool : config.pools) pools.push_back(pool.name);
  if (config.routes) {
    for (const routing::Route& route : config.routes->routes) routes.push_back(route.name);
  }
  pools_ = masks_of(fleet, pools, &fleet::BudgetScope::pool);
  routes_ = masks_of(fleet, routes, &fleet::BudgetScope::route);
  classes_ = masks_of(fleet, config.host.classes, &fleet::BudgetScope::request_class);
  for (std::size_t b = 0; b < fleet.budgets.size(); ++b) {
    const std::uint64_t bit = std::uint64_t{1} << b;
    const fleet::BudgetScope& scope = fleet.budgets[b].scope;
    if (fleet.budgets[b].kind == fleet::BudgetKind::kAttempts) attempts_ |= bit;
    if (scope.route.empty()) any_route_ |= bit;
    if (scope.tenant.empty()) {
      any_tenant_ |= bit;
      continue;
    }
    const auto it = std::find_if(tenants_.begin(), tenants_.end(),
                                 [&scope](const auto& tenant) { return tenant.first == scope.tenant; });
    if (it == tenants_.end()) {
      tenants_.emplace_back(scope.tenant, bit);
    } else {
      it->second |= bit;
    }
  }
  std::sort(tenants_.begin(), tenants_.end());
}

std::uint64_t FleetRules::budgets_of(int pool, int route, int request_class, std::string_view tenant) const {
  std::uint64_t mask = any_tenant_;
  const auto it =
      std::lower_bound(tenants_.begin(), tenants_.end(), tenant,
                       [](const auto& entry, std::string_view name) { return entry.first < name; });
  if (it != tenants_.end() && it->first == tenant) mask |= it->second;
  mask &= route < 0 ? any_route_ : at(routes_, route);
  return mask & at(pools_, pool) & at(classes_, request_class);
}

}  // namespace shorelead::node
