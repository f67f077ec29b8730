#include "node/affinity_binding.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <set>

#include "affinity/condition.h"
#include "node/section_fields.h"

namespace shorelead::node {
namespace {

using affinity::KeySource;
using language::Section;

KeySource key_of(const std::vector<std::string>& arguments) {
  constexpr std::array<std::pair<std::string_view, KeySource::From>, 5> kSources = {
      {{"header", KeySource::From::kField},
       {"cookie", KeySource::From::kCookie},
       {"part", KeySource::From::kPart},
       {"parameter", KeySource::From::kParameter},
       {"tenant", KeySource::From::kTenant}}};
  KeySource key;
  for (const auto& [name, from] : kSources) {
    if (name == arguments.front()) key.from = from;
  }
  if (key.from == KeySource::From::kField) key.name = to_lower(arguments[1]);
  if (key.from == KeySource::From::kCookie || key.from == KeySource::From::kParameter)
    key.name = arguments[1];
  if (key.from == KeySource::From::kPart) {
    std::from_chars(arguments[1].data(), arguments[1].data() + arguments[1].size(), key.part);
  }
  return key;
}

affinity::Rule rule_of(const Section& section) {
  affinity::Rule rule;
  rule.name = section.name;
  rule.place = section.place.file + ":" + std::to_string(section.place.line);
  rule.key = key_of(section.words.at("key"));
  const std::string to = section.word("to");
  rule.to = to == "cell"   ? affinity::Scope::kCell
            : to == "zone" ? affinity::Scope::kZone
                           : affinity::Scope::kBackend;
  rule.must = section.number("must").value_or(0) > 0;
  rule.hold = section.number("hold").value_or(rule.hold);
  if (section.word("on_drain") == "move") rule.on_drain = affinity::OnDrain::kMove;
  rule.finish = section.number("finish").value_or(rule.finish);
  if (section.word("on_loss") == "refuse") rule.on_loss = affinity::OnLoss::kRefuse;
  rule.bound = section.number("bound").value_or(rule.bound);
  rule.slots = static_cast<std::size_t>(section.number("slots").value_or(static_cast<double>(rule.slots)));
  rule.wait = section.number("wait").value_or(rule.wait);
  return rule;
}

// Returns the condition as written, with a caret under the error.
std::string with_caret(const std::string& text, const affinity::Parsed& parsed) {
  return "\n    " + text + "\n    " + std::string(parsed.column - 1, ' ') + "^";
}

bool can_match(const affinity::Rule& rule, affinity::Subject subject, const std::string& value,
               const affinity::Universe& universe) {
  return affinity::can_hold(affinity::all({affinity::is(subject, value), rule.when}), universe) !=
         affinity::Satisfiability::kNo;
}

// Returns the indices of the pools that requests of a rule can be routed to; fallbacks are not counted.
std::set<std::size_t> reachable_pools(const affinity::Rule& rule, const Config& config,
                                      const affinity::Universe& universe) {
  std::set<std::size_t> pools;
  if (!config.routes) return {0};
  for (const routing::Route& route : config.routes->routes) {
    if (!can_match(rule, affinity::Subject::kRoute, route.name, universe)) continue;
    if (route.weighted_pools.empty()) pools.insert(0);
    for (const routing::WeightedPool& weighted : route.weighted_pools)
      pools.insert(static_cast<std::size_t>(weighted.pool));
  }
  return pools;
}

// A key is bound to one backend, so all requests of a rule must go to one pool. A `must` rule needs all
// backends of the pool, as a subset may not contain the key's backend.
void assign_pool(affinity::Rule& rule, const Config& config, const affinity::Universe& universe) {
  const std::set<std::size_t> pools = reachable_pools(rule, config, universe);
  const auto fail = [&rule](const std::string& cause) {
    throw FieldError(rule.place + ": error: affinity " + rule.name + ": " + cause);
  };
  if (pools.size() > 1) {
    fail("it takes requests of the pools " + config.pools[*pools.begin()].name + " and " +
         config.pools[*std::next(pools.begin())].name +
         ", and a key is bound to one box: restrict its condition to one route");
  }
  if (pools.empty() || config.pools.empty()) return;
  const PoolConfig& pool = config.pools[*pools.begin()];
  rule.pool = pool.name;
  if (rule.must && pool.fleet.subset) {
    fail("pool " + pool.name + " uses a subset of its boxes, and `must` needs all of them");
  }
}

}  // namespace

Millis longest_keyed_request(const std::vector<affinity::Rule>& rules, const Config& config,
                             const FleetConfig& fleet) {
  const affinity::Universe universe = universe_of(config, fleet);
  Millis longest = 0;
  for (const affinity::Rule& rule : rules) {
    for (std::size_t n = 0; rule.must && n < config.settings.classes.size(); ++n) {
      if (!can_match(rule, affinity::Subject::kClass, config.host.classes[n], universe)) continue;
      longest = std::max(longest, config.settings.classes[n].deadline);
    }
  }
  return longest;
}

affinity::Universe universe_of(const Config& config, const FleetConfig& fleet) {
  affinity::Universe universe;
  std::vector<double> worths;
  for (std::size_t n = 0; n < config.settings.classes.size(); ++n) {
    const RequestClass& c = config.settings.classes[n];
    const bool keyed = c.effect == Effect::kKeyed;
    universe.classes[config.host.classes[n]] = {keyed ? c.dedup_window : 0, c.group != DedupGroup::kAll};
    worths.push_back(c.worth);
  }
  if (config.routes) {
    for (std::size_t n = 0; n < config.routes->routes.size(); ++n) {
      const routing::Route& route = config.routes->routes[n];
      universe.routes[route.name] = config.host.classes[static_cast<std::size_t>(route.request_class)];
      universe.paths[route.name] = config.routes->rules[n].path;
    }
  }
  const plans::Order order(fleet.plans, worths);
  const auto name_of = [&order](std::string_view tenant) {
    return order.plans()[static_cast<std::size_t>(order.plan_of(tenant))].name;
  };
  for (const plans::PlanSpec& plan : fleet.plans) {
    universe.plans.push_back(plan.name);
    for (const std::string& tenant : plan.tenants) universe.tenants[tenant] = name_of(tenant);
  }
  universe.no_plan = name_of("");
  // Counts backends listed in the file; the number of backends from a registry is unknown here.
  for (const PoolConfig& pool : config.pools) universe.units += pool.known.backends.size();
  return universe;
}

std::vector<affinity::Rule> affinity_of(const language::Document& document, const Config& config,
                                        const FleetConfig& fleet) {
  std::vector<affinity::Rule> rules;
  std::string errors;
  for (const Section& section : document.sections) {
    if (section.block->name != "affinity") continue;
    rules.push_back(rule_of(section));
    if (section.places.count("when") == 0) continue;
    affinity::Parsed parsed = affinity::parse_condition(section.word("when"));
    if (!parsed.cause.empty()) {
      const language::Place& place = section.places.at("when");
      errors.append(errors.empty() ? "" : "\n")
          .append(place.file)
          .append(":")
          .append(std::to_string(place.line));
      errors.append(":")
          .append(std::to_string(place.column))
          .append(": error: affinity ")
          .append(section.name);
      errors.append(": ").append(parsed.cause).append(with_caret(section.word("when"), parsed));
    }
    rules.back().when = std::move(parsed.condition);
  }
  if (!errors.empty()) throw FieldError(errors);
  const affinity::Universe universe = universe_of(config, fleet);
  for (const affinity::Problem& problem : affinity::problems_of(rules, universe)) {
    errors.append(errors.empty() ? "" : "\n").append(problem.place).append(": error: affinity ");
    errors.append(rules[problem.rule].name).append(": ").append(problem.cause);
    if (!problem.other) continue;
    const affinity::Rule& other = rules[*problem.other];
    errors.append("\n  ").append(other.place).append(": here is affinity ").append(other.name);
  }
  if (!errors.empty()) throw FieldError(errors);
  for (affinity::Rule& rule : rules) assign_pool(rule, config, universe);
  return affinity::completed(std::move(rules), universe);
}

}  // namespace shorelead::node
