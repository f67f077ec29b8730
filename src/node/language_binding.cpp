#include "node/language_binding.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>

#include "node/fleet_binding.h"
#include "node/pool_route_binding.h"
#include "node/section_fields.h"

namespace shorelead::node {
namespace {

using language::Section;

constexpr double kMegabyte = 1048576;

RequestClass request_class_of(const Section& section) {
  RequestClass c;
  const std::string effect = section.word("effect");
  c.effect = effect == "safe" ? Effect::kSafe : effect == "keyed" ? Effect::kKeyed : Effect::kUnsafe;
  const std::string group = section.word("group");
  c.group = group == "zone" ? DedupGroup::kZone : group == "cell" ? DedupGroup::kCell : DedupGroup::kAll;
  c.dedup_window = section.number("window").value_or(0);
  c.aim = *section.number("aim");
  c.deadline = *section.number("give_up");
  c.worth = section.number("worth").value_or(1);
  c.late_value = section.number("late_value").value_or(0);
  return c;
}

// Gives each pool the classes whose requests can reach it: those of routes that lead to it, or to a pool that
// it is the fallback of. So a changed class does not affect pools that never get its requests.
void assign_classes_to_pools(Config& config) {
  const std::size_t count = config.settings.classes.size();
  std::vector<std::vector<bool>> reachable(
      config.pools.size(), std::vector<bool>(count, config.pools.size() == 1 || !config.routes));
  if (config.pools.size() > 1 && config.routes) {
    for (const routing::Route& route : config.routes->routes) {
      for (const routing::WeightedPool& weighted : route.weighted_pools) {
        std::vector<bool> visited(config.pools.size());
        for (int at = weighted.pool; at >= 0 && !visited[static_cast<std::size_t>(at)];
             at = config.pools[static_cast<std::size_t>(at)].fallback) {
          visited[static_cast<std::size_t>(at)] = true;
          reachable[static_cast<std::size_t>(at)][static_cast<std::size_t>(route.request_class)] = true;
        }
      }
    }
  }
  for (std::size_t p = 0; p < config.pools.size(); ++p) {
    PoolConfig& pool = config.pools[p];
    // A pool that no class can reach still has a decision module, which needs at least one class.
    if (std::none_of(reachable[p].begin(), reachable[p].end(), [](bool c) { return c; }))
      reachable[p].assign(count, true);
    for (std::size_t n = 0; n < count; ++n) {
      pool.classes.push_back(reachable[p][n] ? static_cast<int>(pool.settings.classes.size()) : -1);
      if (!reachable[p][n]) continue;
      pool.settings.classes.push_back(config.settings.classes[n]);
      pool.host.classes.push_back(config.host.classes[n]);
    }
  }
}

}  // namespace

bool is_shore(const std::string& path) { return path.ends_with(".shore"); }

Config load_shore(const std::string& path, const Overrides& overrides, const language::Reader& reader) {
  const language::Document document = language::check(path, reader);
  if (!document.problems.empty()) {
    std::string errors;
    for (const language::Problem& problem : document.problems)
      errors.append(errors.empty() ? "" : "\n").append(problem.text());
    throw FieldError(errors);
  }
  Config config;
  for (const language::Problem& warning : document.warnings) config.warnings.push_back(warning.text());
  const Section& node = *document.find("node");
  config.name = overrides.name.empty() ? node.name : overrides.name;
  config.listen = address_or_override(node, "listen", overrides.listen);
  const bool needs_discovery = node.places.count("discovery") > 0;
  if (needs_discovery) config.discovery = address_or_override(node, "discovery", overrides.discovery);
  const std::string seed = node.word("seed");
  const auto [rest, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (error != std::errc() || rest != seed.data() + seed.size()) {
    fail_field(node, "seed", "seed is " + seed + ", which is not a hexadecimal number of 64 bits");
  }
  config.limits.sockets = integer_or(node, "sockets", config.limits.sockets);
  config.limits.memory_mb = node.number("memory").value_or(0) / kMegabyte;
  config.settings.instances = integer_or(node, "nodes", 1);
  config.settings.instance = integer_or(node, "index", 0);
  for (const Section& section : document.sections) {
    if (section.block->name != "class") continue;
    config.settings.classes.push_back(request_class_of(section));
    config.host.classes.push_back(section.name);
  }
  std::vector<std::string> names;
  for (const Section& section : document.sections) {
    if (section.block->name == "pool") names.push_back(section.name);
  }
  for (const Section& section : document.sections) {
    if (section.block->name != "pool") continue;
    config.pools.push_back(pool_of(node, section, names, config));
  }
  bind_routes(document, names, config);
  // The top-level fields repeat the first pool, as in a JSON configuration.
  const PoolConfig& first = config.pools.front();
  const std::vector<RequestClass> classes = config.settings.classes;
  config.settings = first.settings;
  config.settings.classes = classes;
  config.host.zones = first.host.zones;
  config.host.idle_timeout = first.host.idle_timeout;
  config.fleet = first.fleet;
  config.known = first.known;
  if (!needs_discovery && first.discovery) config.discovery = *first.discovery;
  assign_classes_to_pools(config);
  config.shared = fleet_of(document, config);
  return config;
}

}  // namespace shorelead::node
