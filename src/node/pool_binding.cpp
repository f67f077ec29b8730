#include <algorithm>

#include "node/pool_route_binding.h"
#include "node/section_fields.h"

namespace shorelead::node {
namespace {

using language::Section;

// Those that stand in the file, under a number that says what they are: the same backends, the same number.
List backends_of(const Section& pool) {
  List list;
  list.whole = true;
  for (const Section& backend : pool.inner) {
    if (backend.block->name != "box") continue;
    ListedBackend listed;
    listed.host = backend.name;
    listed.dial = backend.word("dial");
    listed.health = backend.number("draining").value_or(0) > 0 ? "draining" : "ready";
    listed.site = backend.word("zone");
    listed.cell = whole_number(backend, "cell", 0);
    listed.size = backend.number("size").value_or(1);
    if (!parse_address(listed.dial)) {
      bad_field(backend, "dial",
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
  s.max_attempts = whole_number(pool, "attempts", 3);
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
    s.max_probes_per_second = probes->number("per_second").value_or(0);
    s.max_probes_per_backend = probes->number("per_box").value_or(0);
  }
}

membership::registry::Spec registry_of(const Section& section) {
  membership::registry::Spec spec;
  spec.prefix = section.word("prefix");
  for (const std::string& one : section.words.at("endpoints")) {
    spec.endpoints.push_back(machine_address(section, "endpoints", one));
  }
  if (section.places.count("ca") > 0) {
    spec.tls = net::TlsFiles{section.word("ca"), section.word("certificate"), section.word("key"),
                             section.word("name")};
#ifndef SHORELEAD_TLS
    bad_field(section, "ca", "this build has no TLS (cmake -DSHORELEAD_TLS=ON)");
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
    bad_field(node, "zone", "zone is " + zone + ", which pool " + section.name + " does not name");
  pool.settings.zone = static_cast<int>(it - zones.begin());
}

void take_subset(const Section& node, const Section& part, const Config& config, PoolConfig& pool) {
  subset::Options options;
  options.target = whole_number(part, "size", options.target);
  options.slack = part.number("slack").value_or(options.slack);
  options.divide_above = whole_number(part, "above", options.target * 2);
  pool.fleet.subset = options;
  pool.fleet.place.name = subset::hash_of(config.name);
  if (node.number("nodes")) pool.fleet.place.nodes = config.settings.instances;
  if (node.number("index")) pool.fleet.place.index = config.settings.instance;
}

}  // namespace

PoolConfig pool_of(const Section& node, const Section& section, const std::vector<std::string>& names,
                   const Config& config) {
  PoolConfig pool;
  pool.name = section.name;
  pool.settings.instances = config.settings.instances;
  pool.settings.instance = config.settings.instance;
  take_pool(section, pool);
  pool.known = backends_of(section);
  if (section.places.count("discovery") > 0) {
    pool.discovery = told_address(section, "discovery", "");
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
  return pool;
}

}  // namespace shorelead::node
