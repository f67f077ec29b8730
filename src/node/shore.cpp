#include "node/shore.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>

namespace shorelead::node {
namespace {

using language::Section;

constexpr double kMegabyte = 1048576;

[[noreturn]] void bad(const Section& section, const char* field, const std::string& cause) {
  const language::Place& place = section.places.at(field);
  throw FieldError(place.file + ":" + std::to_string(place.line) + ":" + std::to_string(place.column) +
                   ": error: " + cause);
}

Poco::Net::SocketAddress address(const Section& node, const char* field, const std::string& over) {
  const std::string text = over.empty() ? node.word(field) : over;
  const auto parsed = parse_address(text);
  if (parsed) return *parsed;
  if (!over.empty()) throw FieldError("\"" + over + "\" is not an address with a port");
  bad(node, field,
      std::string(field) + " is " + text + ", which is no address of a machine (no names are looked up)");
}

int whole(const Section& section, std::string_view field, int otherwise) {
  return static_cast<int>(section.number(field).value_or(otherwise));
}

RequestClass class_of(const Section& section) {
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

std::string place_of(const language::Place& place) { return place.file + ":" + std::to_string(place.line); }

int number_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::string in_small(std::string name) {
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
  return name;
}

std::vector<routing::Arm> arms_of(const Section& route, const std::vector<std::string>& pools) {
  const auto split = route.words.find("split");
  if (split == route.words.end()) {
    const int pool = route.places.count("pool") > 0 ? number_of(pools, route.word("pool")) : 0;
    return {{pool, 1, pools[static_cast<std::size_t>(pool)]}};
  }
  std::vector<routing::Arm> arms;
  for (std::size_t n = 0; n + 1 < split->second.size(); n += 2) {
    const std::string& pool = split->second[n];
    arms.push_back({number_of(pools, pool), std::strtod(split->second[n + 1].c_str(), nullptr), pool});
  }
  return arms;
}

void take_routes(const language::Document& document, const std::vector<std::string>& pools, Config& config) {
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
        rule.fields.emplace_back(in_small(it->second[n]), it->second[n + 1]);
      }
    }
    rules.push_back(std::move(rule));
    sections.push_back(&section);
    routing::Route route;
    route.name = section.name;
    route.place = place_of(section.place);
    route.request_class = number_of(config.host.classes, section.word("class"));
    route.arms = arms_of(section, pools);
    route.by = in_small(section.word("by"));
    routes->routes.push_back(std::move(route));
  }
  if (rules.empty()) return;
  std::vector<routing::Refusal> refusals;
  routes->table = routing::Table::compile(rules, refusals);
  std::string all;
  for (const routing::Refusal& refusal : refusals) {
    const Section& section = *sections[refusal.rule];
    all.append(all.empty() ? "" : "\n").append(place_of(section.place)).append(": error: route ");
    all.append(section.name).append(": ").append(refusal.cause);
    if (!refusal.other) continue;
    const Section& other = *sections[*refusal.other];
    all.append("\n  ").append(place_of(other.place)).append(": here is route ").append(other.name);
  }
  if (!all.empty()) throw FieldError(all);
  routes->rules = std::move(rules);
  config.routes = std::move(routes);
}

// The classes that may come to each pool: those of the routes that lead there, or to a pool that it stands in
// for. So a class that is told anew leaves pools alone that never see it.
void share_classes(Config& config) {
  const std::size_t count = config.settings.classes.size();
  std::vector<std::vector<bool>> comes(config.pools.size(),
                                       std::vector<bool>(count, config.pools.size() == 1 || !config.routes));
  if (config.pools.size() > 1 && config.routes) {
    for (const routing::Route& route : config.routes->routes) {
      for (const routing::Arm& arm : route.arms) {
        std::vector<bool> seen(config.pools.size());
        for (int at = arm.pool; at >= 0 && !seen[static_cast<std::size_t>(at)];
             at = config.pools[static_cast<std::size_t>(at)].fallback) {
          seen[static_cast<std::size_t>(at)] = true;
          comes[static_cast<std::size_t>(at)][static_cast<std::size_t>(route.request_class)] = true;
        }
      }
    }
  }
  for (std::size_t p = 0; p < config.pools.size(); ++p) {
    PoolConfig& pool = config.pools[p];
    // A pool that nothing comes to still has a module, which needs a class.
    if (std::none_of(comes[p].begin(), comes[p].end(), [](bool c) { return c; }))
      comes[p].assign(count, true);
    for (std::size_t n = 0; n < count; ++n) {
      pool.classes.push_back(comes[p][n] ? static_cast<int>(pool.settings.classes.size()) : -1);
      if (!comes[p][n]) continue;
      pool.settings.classes.push_back(config.settings.classes[n]);
      pool.host.classes.push_back(config.host.classes[n]);
    }
  }
}

// Those that stand in the file, under a number that says what they are: the same boxes, the same number.
List boxes_of(const Section& pool) {
  List list;
  list.whole = true;
  for (const Section& box : pool.inner) {
    if (box.block->name != "box") continue;
    ListedBackend listed;
    listed.host = box.name;
    listed.dial = box.word("dial");
    listed.health = box.number("draining").value_or(0) > 0 ? "draining" : "ready";
    listed.site = box.word("zone");
    listed.cell = whole(box, "cell", 0);
    listed.size = box.number("size").value_or(1);
    if (!parse_address(listed.dial)) {
      bad(box, "dial",
          "dial is " + listed.dial + ", which is no address of a machine (no names are looked up)");
    }
    list.backends.push_back(std::move(listed));
  }
  return list;
}

void take_pool(const Section& pool, PoolConfig& config) {
  Settings& s = config.settings;
  s.list_on_request = pool.word("list") != "watched";
  s.ask_every = pool.number("ask_every").value_or(0);
  s.probing = pool.number("probing").value_or(1) > 0;
  s.reports_with_answers = pool.word("reports") != "probes";
  s.cancelling = pool.number("cancelling").value_or(1) > 0;
  s.parallel_attempts = pool.number("parallel").value_or(0) > 0;
  s.max_attempts = whole(pool, "attempts", 3);
  s.connect_timeout = pool.number("connect_within").value_or(200);
  s.advise_wait = pool.places.count("advise_wait") > 0;
  s.max_wait_advice = pool.number("advise_wait").value_or(0);
  s.idle_timeout = config.host.idle_timeout = pool.number("idle").value_or(0);
  const auto zones = pool.words.find("zones");
  if (zones != pool.words.end()) config.host.zones = zones->second;
  if (const Section* const cold = pool.find("cold")) {
    s.cold_share = *cold->number("share");
    s.warm_up = *cold->number("warm_up");
    s.fall_multiple = *cold->number("fall_multiple");
    s.fall_span = *cold->number("fall_span");
  }
  if (const Section* const probes = pool.find("probes")) {
    s.most_probes = probes->number("per_second").value_or(0);
    s.most_probes_backend = probes->number("per_box").value_or(0);
  }
}

membership::registry::Spec registry_of(const Section& section) {
  membership::registry::Spec spec;
  spec.prefix = section.word("prefix");
  for (const std::string& one : section.words.at("endpoints")) {
    const auto endpoint = parse_address(one);
    if (!endpoint) {
      bad(section, "endpoints", one + " is no address of a machine (no names are looked up)");
    }
    spec.endpoints.push_back(*endpoint);
  }
  if (section.places.count("ca") > 0) {
    spec.tls = net::TlsFiles{section.word("ca"), section.word("certificate"), section.word("key"),
                             section.word("name")};
#ifndef SHORELEAD_TLS
    bad(section, "ca", "this build has no TLS (cmake -DSHORELEAD_TLS=ON)");
#endif
  }
  return spec;
}

void take_zone(const Section& node, const Section& section, PoolConfig& pool) {
  const std::string zone = node.word("zone");
  if (zone.empty()) return;
  auto& zones = pool.host.zones;
  if (zones.empty()) zones.push_back(zone);
  const auto it = std::find(zones.begin(), zones.end(), zone);
  if (it == zones.end())
    bad(node, "zone", "zone is " + zone + ", which pool " + section.name + " does not name");
  pool.settings.zone = static_cast<int>(it - zones.begin());
}

void take_subset(const Section& node, const Section& part, const Config& config, PoolConfig& pool) {
  subset::Options options;
  options.target = whole(part, "size", options.target);
  options.slack = part.number("slack").value_or(options.slack);
  options.whole_up_to = whole(part, "above", options.target * 2);
  pool.fleet.subset = options;
  pool.fleet.place.name = subset::hash_of(config.name);
  if (node.number("nodes")) pool.fleet.place.nodes = config.settings.instances;
  if (node.number("index")) pool.fleet.place.index = config.settings.instance;
}

}  // namespace

bool is_shore(const std::string& path) { return path.ends_with(".shore"); }

Config load_shore(const std::string& path, const Overrides& overrides, const language::Reader& reader) {
  const language::Document document = language::check(path, reader);
  if (!document.problems.empty()) {
    std::string all;
    for (const language::Problem& problem : document.problems)
      all.append(all.empty() ? "" : "\n").append(problem.text());
    throw FieldError(all);
  }
  Config config;
  for (const language::Problem& doubt : document.warnings) config.warnings.push_back(doubt.text());
  const Section& node = *document.find("node");
  config.name = overrides.name.empty() ? node.name : overrides.name;
  config.listen = address(node, "listen", overrides.listen);
  const bool needs_discovery = node.places.count("discovery") > 0;
  if (needs_discovery) config.discovery = address(node, "discovery", overrides.discovery);
  const std::string seed = node.word("seed");
  const auto [rest, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (error != std::errc() || rest != seed.data() + seed.size()) {
    bad(node, "seed", "seed is " + seed + ", which is no hexadecimal number of 64 bits");
  }
  config.limits.sockets = whole(node, "sockets", config.limits.sockets);
  config.limits.memory_mb = node.number("memory").value_or(0) / kMegabyte;
  config.settings.instances = whole(node, "nodes", 1);
  config.settings.instance = whole(node, "index", 0);
  for (const Section& section : document.sections) {
    if (section.block->name != "class") continue;
    config.settings.classes.push_back(class_of(section));
    config.host.classes.push_back(section.name);
  }
  std::vector<std::string> names;
  for (const Section& section : document.sections) {
    if (section.block->name == "pool") names.push_back(section.name);
  }
  for (const Section& section : document.sections) {
    if (section.block->name != "pool") continue;
    PoolConfig pool;
    pool.name = section.name;
    pool.settings.instances = config.settings.instances;
    pool.settings.instance = config.settings.instance;
    take_pool(section, pool);
    pool.known = boxes_of(section);
    if (section.places.count("discovery") > 0) {
      pool.discovery = address(section, "discovery", "");
    } else if (const Section* const registry = section.find("registry")) {
      pool.registry = registry_of(*registry);
      pool.settings.list_on_request = false;
    } else if (pool.known.backends.empty()) {
      pool.discovery = config.discovery;
    } else {
      pool.settings.list_on_request = false;
    }
    if (pool.discovery || pool.registry) {
      membership::Options options;
      options.floor = section.number("floor").value_or(options.floor);
      options.hold = section.number("hold").value_or(options.hold);
      options.stale_after = section.number("stale_after").value_or(options.stale_after);
      pool.view = options;
      pool.keep = section.word("keep");
    }
    if (const std::string other = section.word("fallback"); !other.empty()) {
      pool.fallback = number_of(names, other);
    }
    take_zone(node, section, pool);
    if (const Section* const part = section.find("subset")) take_subset(node, *part, config, pool);
    config.pools.push_back(std::move(pool));
  }
  take_routes(document, names, config);
  // What the first pool is told stands at the top as well, as in the platform's form.
  const PoolConfig& first = config.pools.front();
  const std::vector<RequestClass> classes = config.settings.classes;
  config.settings = first.settings;
  config.settings.classes = classes;
  config.host.zones = first.host.zones;
  config.host.idle_timeout = first.host.idle_timeout;
  config.fleet = first.fleet;
  config.known = first.known;
  if (!needs_discovery && first.discovery) config.discovery = *first.discovery;
  share_classes(config);
  return config;
}

}  // namespace shorelead::node
