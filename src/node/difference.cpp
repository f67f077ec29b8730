#include "node/difference.h"

#include <algorithm>
#include <map>
#include <sstream>

#include "node/fleet_text.h"

namespace shorelead::node {
namespace {

using Facts = std::map<std::string, std::string>;  // what the node goes by, in words

std::string text(double value, const char* unit = "") {
  std::ostringstream out;
  out.precision(12);
  out << value << unit;
  return out.str();
}

std::string ms(Millis value) { return value > 0 ? text(value, " ms") : "none"; }
std::string yes(bool value) { return value ? "yes" : "no"; }
std::string share(double value) { return text(value * 100, " %"); }

std::string joined(const std::vector<std::string>& words) {
  std::string all;
  for (const std::string& word : words) all.append(all.empty() ? "" : " ").append(word);
  return all;
}

void add_class(const std::string& name, const RequestClass& c, Facts& facts) {
  const auto put = [&](const char* what, std::string value) {
    facts["class " + name + ": " + what] = std::move(value);
  };
  const char* const effects[] = {"safe", "keyed", "unsafe"};
  const char* const groups[] = {"all", "zone", "cell"};
  put("effect", effects[static_cast<int>(c.effect)]);
  put("aim", ms(c.aim));
  put("give_up", ms(c.deadline));
  put("worth", text(c.worth));
  put("late_value", share(c.late_value));
  if (c.effect != Effect::kKeyed) return;
  put("group", groups[static_cast<int>(c.group)]);
  put("window", ms(c.dedup_window));
}

// By what it matches, not by its name or its place in the file; parameters' names do not matter.
std::string words_of(const routing::Rule& rule, const std::string& method) {
  std::string path;
  bool in_name = false;
  for (const char c : rule.path) {
    if (c == '}') in_name = false;
    if (!in_name) path += c;
    if (c == '{') in_name = true;
  }
  std::string host = rule.host;
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) { return std::tolower(c); });
  std::string words = "route ";
  words.append(method.empty() ? "any" : method).append(" ").append(host.empty() ? "any host" : host);
  words.append(" ").append(path);
  auto fields = rule.fields;
  std::sort(fields.begin(), fields.end());
  for (const auto& [name, value] : fields) words.append(" ").append(name).append("=").append(value);
  return words;
}

std::string source_of(const PoolConfig& pool) {
  if (pool.discovery) return "discovery " + pool.discovery->toString();
  if (!pool.registry) return text(static_cast<double>(pool.known.backends.size())) + " boxes told";
  std::string words = "registry " + pool.registry->prefix + " at";
  for (const auto& endpoint : pool.registry->endpoints) words.append(" ").append(endpoint.toString());
  return words;
}

void add_pool(const PoolConfig& pool, const std::vector<PoolConfig>& pools, Facts& facts) {
  const Settings& s = pool.settings;
  const auto put = [&](const std::string& what, std::string value) {
    facts["pool " + pool.name + ": " + what] = std::move(value);
  };
  put("source", pool.discovery || pool.registry ? source_of(pool) : "its boxes are told");
  if (pool.view) {
    put("floor", share(pool.view->floor));
    put("hold", ms(pool.view->hold));
    put("stale_after", ms(pool.view->stale_after));
    put("keep", pool.keep.empty() ? "none" : pool.keep);
  }
  put("fallback", pool.fallback < 0 ? "none" : "pool " + pools[static_cast<std::size_t>(pool.fallback)].name);
  put("list", s.list_on_request ? "asked" : "watched");
  put("ask_every", ms(s.ask_every));
  put("probing", yes(s.probing));
  put("cancelling", yes(s.cancelling));
  put("parallel", yes(s.parallel_attempts));
  put("attempts", text(s.max_attempts));
  put("connect_within", ms(s.connect_timeout));
  put("idle", ms(pool.host.idle_timeout));
  put("advise_wait", s.advise_wait ? ms(s.max_wait_advice) : "none");
  put("zones", joined(pool.host.zones));
  put("cold share", share(s.cold_share));
  put("cold warm_up", ms(s.warm_up));
  put("cold fall_multiple", text(s.fall_multiple));
  put("cold fall_span", ms(s.fall_span));
  put("probes per_second",
      s.max_probes_per_second > 0 ? text(s.max_probes_per_second, " rps") : "no ceiling");
  put("probes per_box", s.max_probes_per_backend > 0 ? text(s.max_probes_per_backend, " rps") : "no ceiling");
  if (pool.fleet.subset) {
    put("subset size", text(pool.fleet.subset->target));
    put("subset above", text(pool.fleet.subset->divide_above));
    put("subset slack", share(pool.fleet.subset->slack));
  }
  if (pool.discovery || pool.registry) return;
  for (const ListedBackend& backend : pool.known.backends) {
    std::string is = backend.dial;
    if (!backend.site.empty()) is.append(", zone ").append(backend.site);
    is.append(", cell ").append(text(backend.cell)).append(", size ").append(text(backend.size));
    put("box " + backend.host, is + (backend.health == "ready" ? "" : ", draining"));
  }
}

// Pools that go on under another name: what is left of one kind on each side and says the same of itself.
std::map<std::string, std::string> renamed(const Config& before, const Config& after) {
  const std::vector<PoolConfig> old = pools_of(before);
  const std::vector<PoolConfig> now = pools_of(after);
  const auto has = [](const std::vector<PoolConfig>& pools, const std::string& name) {
    return std::any_of(pools.begin(), pools.end(), [&](const PoolConfig& pool) { return pool.name == name; });
  };
  std::map<std::string, std::string> names;
  std::vector<bool> taken(now.size());
  for (const PoolConfig& was : old) {
    if (has(now, was.name)) continue;
    for (std::size_t n = 0; n < now.size(); ++n) {
      if (taken[n] || has(old, now[n].name)) continue;
      Facts a;
      Facts b;
      PoolConfig same = was;
      same.name = now[n].name;
      same.fallback = now[n].fallback;  // which may be called otherwise as well
      add_pool(same, now, a);
      add_pool(now[n], now, b);
      if (a != b) continue;
      names[was.name] = now[n].name;
      taken[n] = true;
      break;
    }
  }
  return names;
}

// Of a pool that the other side does not have: that it is there, and its backends; not every default of it.
void come_or_gone(const std::vector<PoolConfig>& pools, const std::vector<PoolConfig>& others, Facts& facts) {
  for (const PoolConfig& pool : pools) {
    const auto same = [&pool](const PoolConfig& other) { return other.name == pool.name; };
    if (std::any_of(others.begin(), others.end(), same)) continue;
    const std::string start = "pool " + pool.name + ": ";
    std::erase_if(facts, [&start](const auto& fact) {
      return fact.first.starts_with(start) && !fact.first.starts_with(start + "box ");
    });
    facts["pool " + pool.name] = source_of(pool);
  }
}

Facts facts_of(const Config& config) {
  Facts facts;
  const Settings& s = config.settings;
  const std::vector<PoolConfig> pools = pools_of(config);
  const auto put = [&facts](const char* what, std::string value) { facts[what] = std::move(value); };
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
  for (std::size_t n = 0; n < s.classes.size(); ++n) add_class(config.host.classes[n], s.classes[n], facts);
  for (const PoolConfig& pool : pools) add_pool(pool, pools, facts);
  if (config.shared) fleet_facts(*config.shared, facts);
  if (!config.routes) {
    put("routes", "the first part of the path is the class");
    return facts;
  }
  for (std::size_t n = 0; n < config.routes->rules.size(); ++n) {
    const routing::Rule& rule = config.routes->rules[n];
    const routing::Route& route = config.routes->routes[n];
    std::string to = "class " + config.host.classes[static_cast<std::size_t>(route.request_class)];
    std::map<std::string, double> shares;
    for (const routing::Arm& arm : route.arms) shares[arm.name] += arm.share;
    for (const auto& [pool, part] : shares) {
      to.append(", pool ").append(pool);
      if (shares.size() > 1) to.append(" ").append(share(part));
    }
    if (shares.size() > 1) to.append(" by ").append(route.by);
    if (rule.methods.empty()) facts[words_of(rule, "")] = to;
    for (const std::string& method : rule.methods) facts[words_of(rule, method)] = to;
  }
  return facts;
}

}  // namespace

std::vector<Difference> differences(const Config& before, const Config& after) {
  Config same_names = before;
  std::vector<Difference> all;
  for (const auto& [was, is] : renamed(before, after)) {
    for (PoolConfig& pool : same_names.pools) {
      if (pool.name == was) pool.name = is;
    }
    if (same_names.routes) {
      auto routes = std::make_shared<Routes>();
      routes->rules = same_names.routes->rules;
      routes->routes = same_names.routes->routes;
      for (routing::Route& route : routes->routes) {
        for (routing::Arm& arm : route.arms) {
          if (arm.name == was) arm.name = is;
        }
      }
      same_names.routes = std::move(routes);
    }
    all.push_back({"pool " + was + ": name", was, is});
  }
  Facts old = facts_of(same_names);
  Facts now = facts_of(after);
  come_or_gone(pools_of(same_names), pools_of(after), old);
  come_or_gone(pools_of(after), pools_of(same_names), now);
  auto a = old.begin();
  auto b = now.begin();
  while (a != old.end() || b != now.end()) {
    if (b == now.end() || (a != old.end() && a->first < b->first)) {
      all.push_back({a->first, a->second, ""});
      ++a;
    } else if (a == old.end() || b->first < a->first) {
      all.push_back({b->first, "", b->second});
      ++b;
    } else {
      if (a->second != b->second) all.push_back({a->first, a->second, b->second});
      ++a, ++b;
    }
  }
  return all;
}

}  // namespace shorelead::node
