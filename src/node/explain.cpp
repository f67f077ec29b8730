#include "node/explain.h"

#include <algorithm>
#include <optional>

#include "node/affinity_text.h"
#include "node/fleet_rules.h"
#include "node/fleet_text.h"
#include "plans/order.h"

namespace shorelead::node {
namespace {

// Prints the pools of a route and returns the one that the request goes to; -1 if a split route lacks its
// key.
int explain_pool(const Config& config, const routing::Route& route,
                 const std::function<std::string_view(std::string_view)>& field, std::ostream& out) {
  const auto name = [&config](int pool) { return config.pools[static_cast<std::size_t>(pool)].name; };
  int to = route.weighted_pools.empty() ? 0 : route.weighted_pools.front().pool;
  if (route.weighted_pools.size() > 1) {
    std::string_view key = field(route.by);
    if (key.empty()) key = field("idempotency-key");
    if (key.empty()) key = field("x-request-id");
    for (const auto& weighted : route.weighted_pools)
      out << "split: pool " << weighted.name << " " << weighted.share * 100 << " %\n";
    if (key.empty()) {
      out << "pool: by " << route.by << ", which was not told\n";
      return -1;
    }
    to = routing::pool_for_key(route, key);
    out << "pool " << name(to) << ": " << route.by << " \"" << key << "\" keeps it\n";
  } else {
    out << "pool " << name(to) << "\n";
  }
  const int first = to;
  for (std::size_t steps = 0; steps < config.pools.size(); ++steps) {
    to = config.pools[static_cast<std::size_t>(to)].fallback;
    if (to < 0) break;
    out << "where nobody is ready there: pool " << name(to) << "\n";
  }
  return first;
}

// Prints the budgets, the plan with its rank, and the affinity rule of a request.
void explain_fleet(const Config& config, int pool, int route, int request_class,
                   const std::function<std::string_view(std::string_view)>& field, affinity::Request request,
                   std::ostream& out) {
  const FleetConfig& fleet = *config.shared;
  const std::string_view tenant = field("x-tenant-id");
  const std::uint64_t mask = FleetRules(fleet, config).budgets_of(pool, route, request_class, tenant);
  for (std::size_t b = 0; b < fleet.budgets.size(); ++b) {
    if ((mask >> b & 1) == 0) continue;
    out << "budget " << fleet.budgets[b].name << ": " << describe(fleet.budgets[b])
        << ", of all processes together\n";
  }
  std::vector<double> worths;
  for (const RequestClass& c : config.settings.classes) worths.push_back(c.worth);
  const plans::Order order(fleet.plans, worths);
  const int plan = order.plan_of(tenant);
  if (!fleet.plans.empty())
    out << "plan " << order.plans()[static_cast<std::size_t>(plan)].name
        << ": in a shortage of the fleet rank " << order.rank_of(plan, request_class) + 1 << " of "
        << order.ranks() << ", the last goes first\n";
  if (route >= 0) {
    const auto n = static_cast<std::size_t>(route);
    request.route = config.routes->routes[n].name;
    request.pattern = config.routes->rules[n].path;
  }
  request.request_class = config.host.classes[static_cast<std::size_t>(request_class)];
  request.tenant = tenant;
  request.plan = order.plans()[static_cast<std::size_t>(plan)].name;
  explain_affinity(fleet.affinity, request, out);
}

}  // namespace

bool explain(const Config& config, const std::string& request, const std::vector<std::string>& headers,
             std::ostream& out) {
  const std::size_t blank = request.find(' ');
  const std::size_t slash = request.find('/', blank == std::string::npos ? 0 : blank);
  if (blank == std::string::npos || slash == std::string::npos) {
    throw FieldError("malformed request; expected METHOD host/path, as in 'GET a.example.org/checks/7'");
  }
  const std::string method = request.substr(0, blank);
  const std::string host = request.substr(blank + 1, slash - blank - 1);
  const std::string target = request.substr(slash);
  const std::function<std::string_view(std::string_view)> field =
      [&headers](std::string_view name) -> std::string_view {
    for (const std::string& header : headers) {
      const std::size_t colon = header.find(':');
      if (colon == std::string::npos || !same_name(header.substr(0, colon), name)) continue;
      return trim(std::string_view(header).substr(colon + 1));
    }
    return {};
  };
  std::optional<int> request_class;
  int pool = 0;
  int route_number = -1;  // index of the route; -1 = none
  if (config.routes) {
    const auto rule = config.routes->table.find({host, target, method, &field});
    if (rule) {
      const auto& route = config.routes->routes[*rule];
      out << "route " << route.name << " (" << route.place << ")\n";
      pool = explain_pool(config, route, field, out);
      route_number = static_cast<int>(*rule);
      request_class = route.request_class;
    }
  } else {
    const std::string first = target.substr(1, std::min(target.find_first_of("/?#", 1), target.size()) - 1);
    const auto known = std::find(config.host.classes.begin(), config.host.classes.end(), first);
    if (known != config.host.classes.end())
      request_class = static_cast<int>(known - config.host.classes.begin());
    out << "no routes: the first part of the path is the class\n";
  }
  if (!request_class) {
    out << "answered 404: " << (config.routes ? "no route takes it" : "there is no such class") << "\n";
    return false;
  }
  const auto n = static_cast<std::size_t>(*request_class);
  const RequestClass& c = config.settings.classes[n];
  const char* const effects[] = {"safe", "keyed", "unsafe"};
  out << "class " << config.host.classes[n] << ": " << effects[static_cast<int>(c.effect)] << ", wanted in "
      << c.aim << " ms, given up after " << c.deadline << " ms\n"
      << "attempts: " << config.settings.max_attempts << " at most"
      << (c.effect == Effect::kUnsafe ? ", another only where none can have run" : "") << "\n";
  if (config.shared) {
    affinity::Request affinity_request;
    affinity_request.method = method;
    affinity_request.path = target;
    affinity_request.field = &field;
    explain_fleet(config, pool, route_number, *request_class, field, affinity_request, out);
  }
  return true;
}

}  // namespace shorelead::node
