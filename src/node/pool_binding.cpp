#include <algorithm>

#include "node/pool_route_binding.h"
#include "node/section_fields.h"

namespace shorelead::node {
namespace {

using language::Section;

// Returns the backends listed in the file.
List backends_of(const Section& pool) {
  List list;
  list.whole = true;
  for (const Section& backend : pool.children) {
    if (backend.block->name != "box") continue;
    ListedBackend listed;
    listed.host = backend.name;
    listed.dial = backend.word("dial");
    listed.health = backend.number("draining").value_or(0) > 0 ? "draining" : "ready";
    listed.site = backend.word("zone");
    listed.cell = integer_or(backend, "cell", 0);
    listed.size = backend.number("size").value_or(1);
    if (!parse_address(listed.dial)) {
      fail_field(backend, "dial",
                 "dial is " + listed.dial +
                     ", which is not a numeric address with a port (host names are not resolved)");
    }
    list.backends.push_back(std::move(listed));
  }
  return list;
}

void apply_pool(const Section& pool, PoolConfig& config) {
  Settings& settings = config.settings;
  settings.list_on_request = pool.word("list") != "watched";
  settings.ask_every = pool.number("ask_every").value_or(0);
  settings.probing = pool.number("probing").value_or(1) > 0;
  settings.reports_with_answers = pool.word("reports") != "probes";
  settings.cancelling = pool.number("cancelling").value_or(1) > 0;
  settings.parallel_attempts = pool.number("parallel").value_or(0) > 0;
  settings.max_attempts = integer_or(pool, "attempts", 3);
  settings.connect_timeout = pool.number("connect_within").value_or(200);
  settings.advise_wait = pool.places.count("advise_wait") > 0;
  settings.max_wait_advice = pool.number("advise_wait").value_or(0);
  settings.idle_timeout = config.host.idle_timeout = pool.number("idle").value_or(0);
  const auto zones = pool.words.find("zones");
  if (zones != pool.words.end()) config.host.zones = zones->second;
  if (const Section* const cold = pool.find("cold")) {
    settings.cold_share = *cold->number("share");
    settings.warm_up = *cold->number("warm_up");
    settings.fall_multiple = *cold->number("fall_multiple");
    settings.fall_span = *cold->number("fall_span");
  }
  if (const Section* const probes = pool.find("probes")) {
    settings.max_probes_per_second = probes->number("per_second").value_or(0);
    settings.max_probes_per_backend = probes->number("per_box").value_or(0);
  }
}

membership::registry::Spec registry_of(const Section& section) {
  membership::registry::Spec spec;
  spec.prefix = section.word("prefix");
  for (const std::string& endpoint : section.words.at("endpoints")) {
    spec.endpoints.push_back(numeric_address(section, "endpoints", endpoint));
  }
  if (section.places.count("ca") > 0) {
    spec.tls = net::TlsFiles{section.word("ca"), section.word("certificate"), section.word("key"),
                             section.word("name")};
#ifndef SHORELEAD_TLS
    fail_field(section, "ca", "this build has no TLS (cmake -DSHORELEAD_TLS=ON)");
#endif
  }
  return spec;
}

void apply_zone(const Section& node, const Section& section, PoolConfig& pool) {
  const std::string zone = node.word("zone");
  if (zone.empty()) return;
  auto& zones = pool.host.zones;
  if (zones.empty()) zones.push_back(zone);
  const auto found = std::find(zones.begin(), zones.end(), zone);
  if (found == zones.end())
    fail_field(node, "zone", "zone is " + zone + ", which pool " + section.name + " does not name");
  pool.settings.zone = static_cast<int>(found - zones.begin());
}

void apply_subset(const Section& node, const Section& subset_section, const Config& config,
                  PoolConfig& pool) {
  subset::Options options;
  options.target = integer_or(subset_section, "size", options.target);
  options.slack = subset_section.number("slack").value_or(options.slack);
  options.divide_above = integer_or(subset_section, "above", options.target * 2);
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
  apply_pool(section, pool);
  pool.known = backends_of(section);
  if (section.places.count("discovery") > 0) {
    pool.discovery = address_or_override(section, "discovery", "");
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
  if (const std::string fallback = section.word("fallback"); !fallback.empty()) {
    pool.fallback = index_of(names, fallback);
  }
  apply_zone(node, section, pool);
  if (const Section* const subset_section = section.find("subset"))
    apply_subset(node, *subset_section, config, pool);
  return pool;
}

}  // namespace shorelead::node
