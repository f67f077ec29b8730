#include <algorithm>
#include <cstdlib>

#include "node/pool_route_binding.h"
#include "node/section_fields.h"

namespace shorelead::node {
namespace {

using language::Section;

std::string place_of(const language::Place& place) { return place.file + ":" + std::to_string(place.line); }

std::vector<routing::WeightedPool> weighted_pools_of(const Section& route,
                                                     const std::vector<std::string>& pools) {
  const auto split = route.words.find("split");
  if (split == route.words.end()) {
    const int pool = route.places.count("pool") > 0 ? index_of(pools, route.word("pool")) : 0;
    return {{pool, 1, pools[static_cast<std::size_t>(pool)]}};
  }
  std::vector<routing::WeightedPool> weighted_pools;
  for (std::size_t n = 0; n + 1 < split->second.size(); n += 2) {
    const std::string& pool = split->second[n];
    weighted_pools.push_back(
        {index_of(pools, pool), std::strtod(split->second[n + 1].c_str(), nullptr), pool});
  }
  return weighted_pools;
}

}  // namespace

void bind_routes(const language::Document& document, const std::vector<std::string>& pools, Config& config) {
  auto routes = std::make_shared<Routes>();
  std::vector<routing::Rule> rules;
  std::vector<const Section*> sections;
  for (const Section& section : document.sections) {
    if (section.block->name != "route") continue;
    routing::Rule rule;
    rule.host = section.word("host");
    if (section.places.count("path") > 0) rule.path = section.word("path");
    if (const auto it = section.words.find("methods"); it != section.words.end()) rule.methods = it->second;
    if (const auto it = section.words.find("header"); it != section.words.end()) {
      for (std::size_t n = 0; n + 1 < it->second.size(); n += 2) {
        rule.fields.emplace_back(to_lower(it->second[n]), it->second[n + 1]);
      }
    }
    rules.push_back(std::move(rule));
    sections.push_back(&section);
    routing::Route route;
    route.name = section.name;
    route.place = place_of(section.place);
    route.request_class = index_of(config.host.classes, section.word("class"));
    route.weighted_pools = weighted_pools_of(section, pools);
    route.by = to_lower(section.word("by"));
    routes->routes.push_back(std::move(route));
  }
  if (rules.empty()) return;
  std::vector<routing::Refusal> refusals;
  routes->table = routing::Table::compile(rules, refusals);
  std::string errors;
  for (const routing::Refusal& refusal : refusals) {
    const Section& section = *sections[refusal.rule];
    errors.append(errors.empty() ? "" : "\n").append(place_of(section.place)).append(": error: route ");
    errors.append(section.name).append(": ").append(refusal.cause);
    if (!refusal.other) continue;
    const Section& other = *sections[*refusal.other];
    errors.append("\n  ").append(place_of(other.place)).append(": here is route ").append(other.name);
  }
  if (!errors.empty()) throw FieldError(errors);
  routes->rules = std::move(rules);
  config.routes = std::move(routes);
}

}  // namespace shorelead::node
