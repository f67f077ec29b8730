
#include "node/config_diff.h"

#include <algorithm>
#include <map>
#include <sstream>

#include "node/fleet_text.h"

namespace shorelead::node {
namespace {

using FieldMap = std::map<std::string, std::string>;  // field -> value, both as text

std::string text(double value, const char* unit = "") {
  std::ostringstream out;
  out.precision(12);
  out << value << unit;
  return out.str();
}

std::string ms(Millis value) { return value > 0 ? text(value, " ms") : "none"; }
std::string yes_no(bool value) { return value ? "yes" : "no"; }
std::string percent(double value) { return text(value * 100, " %"); }

std::string joined(const std::vector<std::string>& words) {
  std::string result;
  for (const std::string& word : words) result.append(result.empty() ? "" : " ").append(word);
  return result;
}

void add_class(const std::string& name, const RequestClass& c, FieldMap& fields) {
  const auto put = [&](const char* what, std::string value) {
    fields["class " + name + ": " + what] = std::move(value);
  };
  const char* const effects[] = {"safe", "keyed", "unsafe"};
  const char* const groups[] = {"all", "zone", "cell"};
  put("effect", effects[static_cast<int>(c.effect)]);
  put("aim", ms(c.aim));
  put("give_up", ms(c.deadline));
  put("worth", text(c.worth));
  put("late_value", percent(c.late_value));
  if (c.effect != Effect::kKeyed) return;
  put("group", groups[static_cast<int>(c.group)]);
  put("window", ms(c.dedup_window));
}

// Describes a rule by what it matches, so that its name, its position in the file and the names of path
// parameters make no difference.
std::string describe(const routing::Rule& rule, const std::string& method) {
  std::string path;
  bool in_parameter = false;
  for (const char c : rule.path) {
    if (c == '}') in_parameter = false;
    if (!in_parameter) path += c;
    if (c == '{') in_parameter = true;
  }
  std::string host = rule.host;
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) { return std::tolower(c); });
  std::string description = "route ";
  description.append(method.empty() ? "any" : method).append(" ").append(host.empty() ? "any host" : host);
  description.append(" ").append(path);
  auto fields = rule.fields;
  std::sort(fields.begin(), fields.end());
  for (const auto& [name, value] : fields) description.append(" ").append(name).append("=").append(value);
  return description;
}

std::string describe_source(const PoolConfig& pool) {
  if (pool.discovery) return "discovery " + pool.discovery->toString();
  if (!pool.registry) return text(static_cast<double>(pool.known.backends.size())) + " boxes told";
  std::string description = "registry " + pool.registry->prefix + " at";
  for (const auto& endpoint : pool.registry->endpoints) description.append(" ").append(endpoint.toString());
  return description;
}

void add_pool(const PoolConfig& pool, const std::vector<PoolConfig>& pools, FieldMap& fields) {
  const Settings& s = pool.settings;
  const auto put = [&](const std::string& what, std::string value) {
    fields["pool " + pool.name + ": " + what] = std::move(value);
  };
  put("source", pool.discovery || pool.registry ? describe_source(pool) : "its boxes are told");
  if (pool.view) {
    put("floor", percent(pool.view->floor));
    put("hold", ms(pool.view->hold));
    put("stale_after", ms(pool.view->stale_after));
    put("keep", pool.keep.empty() ? "none" : pool.keep);
  }
  put("fallback", pool.fallback < 0 ? "none" : "pool " + pools[static_cast<std::size_t>(pool.fallback)].name);
  put("list", s.list_on_request ? "asked" : "watched");
  put("ask_every", ms(s.ask_every));
  put("probing", yes_no(s.probing));
  put("cancelling", yes_no(s.cancelling));
  put("parallel", yes_no(s.parallel_attempts));
  put("attempts", text(s.max_attempts));
  put("connect_within", ms(s.connect_timeout));
  put("idle", ms(pool.host.idle_timeout));
  put("advise_wait", s.advise_wait ? ms(s.max_wait_advice) : "none");
  put("zones", joined(pool.host.zones));
  put("cold share", percent(s.cold_share));
  put("cold warm_up", ms(s.warm_up));
  put("cold fall_multiple", text(s.fall_multiple));
  put("cold fall_span", ms(s.fall_span));
  put("probes per_second",
      s.max_probes_per_second > 0 ? text(s.max_probes_per_second, " rps") : "no ceiling");
  put("probes per_box", s.max_probes_per_backend > 0 ? text(s.max_probes_per_backend, " rps") : "no ceiling");
  if (pool.fleet.subset) {
    put("subset size", text(pool.fleet.subset->target));
    put("subset above", text(pool.fleet.subset->divide_above));
    put("subset slack", percent(pool.fleet.subset->slack));
  }
  if (pool.discovery || pool.registry) return;
  for (const ListedBackend& backend : pool.known.backends) {
    std::string description = backend.dial;
    if (!backend.site.empty()) description.append(", zone ").append(backend.site);
    description.append(", cell ").append(text(backend.cell)).append(", size ").append(text(backend.size));
    put("box " + backend.host, description + (backend.health == "ready" ? "" : ", draining"));
  }
}

// Returns the pools that were only renamed, old name -> new name: pools whose name exists on one side only
// and whose fields are equal.
std::map<std::string, std::string> renamed_pools(const Config& before, const Config& after) {
  const std::vector<PoolConfig> old_pools = pools_of(before);
  const std::vector<PoolConfig> new_pools = pools_of(after);
  const auto has = [](const std::vector<PoolConfig>& pools, const std::string& name) {
    return std::any_of(pools.begin(), pools.end(), [&](const PoolConfig& pool) { return pool.name == name; });
  };
  std::map<std::string, std::string> names;
  std::vector<bool> taken(new_pools.size());
  for (const PoolConfig& old_pool : old_pools) {
    if (has(new_pools, old_pool.name)) continue;
    for (std::size_t n = 0; n < new_pools.size(); ++n) {
      if (taken[n] || has(old_pools, new_pools[n].name)) continue;
      FieldMap old_fields;
      FieldMap new_fields;
      PoolConfig candidate = old_pool;
      candidate.name = new_pools[n].name;
      candidate.fallback = new_pools[n].fallback;  // may have been renamed too
      add_pool(candidate, new_pools, old_fields);
      add_pool(new_pools[n], new_pools, new_fields);
      if (old_fields != new_fields) continue;
      names[old_pool.name] = new_pools[n].name;
      taken[n] = true;
      break;
    }
  }
  return names;
}

// A pool that only one side has is shown by one line and its backends, without all its other fields.
void collapse_unmatched(const std::vector<PoolConfig>& pools, const std::vector<PoolConfig>& other_pools,
                        FieldMap& fields) {
  for (const PoolConfig& pool : pools) {
    const auto same = [&pool](const PoolConfig& other) { return other.name == pool.name; };
    if (std::any_of(other_pools.begin(), other_pools.end(), same)) continue;
    const std::string prefix = "pool " + pool.name + ": ";
    std::erase_if(fields, [&prefix](const auto& field) {
      return field.first.starts_with(prefix) && !field.first.starts_with(prefix + "box ");
    });
    fields["pool " + pool.name] = describe_source(pool);
  }
}

FieldMap fields_of(const Config& config) {
  FieldMap fields;
  const Settings& s = config.settings;
  const std::vector<PoolConfig> pools = pools_of(config);
  const auto put = [&fields](const char* what, std::string value) { fields[what] = std::move(value); };
  put("node: name", config.name);
  put("node: listen", config.listen.toString());
  put("node: discovery", config.discovery.toString());
  put("node: sockets", text(config.limits.sockets));
  put("node: memory", text(config.limits.memory_mb, " MiB"));
  put("node: nodes", text(s.instances));
  put("node: index", text(s.instance));
  put("node: zone", s.zone < static_cast<int>(config.host.zones.size())
                        ? config.host.zones[static_cast<std::size_t>(s.zone)]
                        : text(s.zone));
  for (std::size_t n = 0; n < s.classes.size(); ++n) add_class(config.host.classes[n], s.classes[n], fields);
  for (const PoolConfig& pool : pools) add_pool(pool, pools, fields);
  if (config.shared) add_fleet_fields(*config.shared, fields);
  if (!config.routes) {
    put("routes", "the first part of the path is the class");
    return fields;
  }
  for (std::size_t n = 0; n < config.routes->rules.size(); ++n) {
    const routing::Rule& rule = config.routes->rules[n];
    const routing::Route& route = config.routes->routes[n];
    std::string to = "class " + config.host.classes[static_cast<std::size_t>(route.request_class)];
    std::map<std::string, double> shares;
    for (const routing::WeightedPool& weighted : route.weighted_pools)
      shares[weighted.name] += weighted.share;
    for (const auto& [pool, pool_share] : shares) {
      to.append(", pool ").append(pool);
      if (shares.size() > 1) to.append(" ").append(percent(pool_share));
    }
    if (shares.size() > 1) to.append(" by ").append(route.by);
    if (rule.methods.empty()) fields[describe(rule, "")] = to;
    for (const std::string& method : rule.methods) fields[describe(rule, method)] = to;
  }
  return fields;
}

}  // namespace

std::vector<ConfigDiff> differences(const Config& before, const Config& after) {
  Config renamed = before;
  std::vector<ConfigDiff> result;
  for (const auto& [old_name, new_name] : renamed_pools(before, after)) {
    for (PoolConfig& pool : renamed.pools) {
      if (pool.name == old_name) pool.name = new_name;
    }
    if (renamed.routes) {
      auto routes = std::make_shared<Routes>();
      routes->rules = renamed.routes->rules;
      routes->routes = renamed.routes->routes;
      for (routing::Route& route : routes->routes) {
        for (routing::WeightedPool& weighted : route.weighted_pools) {
          if (weighted.name == old_name) weighted.name = new_name;
        }
      }
      renamed.routes = std::move(routes);
    }
    result.push_back({"pool " + old_name + ": name", old_name, new_name});
  }
  FieldMap old_fields = fields_of(renamed);
  FieldMap new_fields = fields_of(after);
  collapse_unmatched(pools_of(renamed), pools_of(after), old_fields);
  collapse_unmatched(pools_of(after), pools_of(renamed), new_fields);
  auto before_it = old_fields.begin();
  auto after_it = new_fields.begin();
  while (before_it != old_fields.end() || after_it != new_fields.end()) {
    if (after_it == new_fields.end() ||
        (before_it != old_fields.end() && before_it->first < after_it->first)) {
      result.push_back({before_it->first, before_it->second, ""});
      ++before_it;
    } else if (before_it == old_fields.end() || after_it->first < before_it->first) {
      result.push_back({after_it->first, "", after_it->second});
      ++after_it;
    } else {
      if (before_it->second != after_it->second)
        result.push_back({before_it->first, before_it->second, after_it->second});
      ++before_it, ++after_it;
    }
  }
  return result;
}

}  // namespace shorelead::node
