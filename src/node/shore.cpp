#include "node/shore.h"

#include <algorithm>
#include <cctype>
#include <charconv>

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

void take_routes(const language::Document& document, Config& config) {
  auto routes = std::make_shared<Routes>();
  std::vector<routing::Rule> rules;
  std::vector<const Section*> sections;
  const std::vector<std::string>& classes = config.host.classes;
  for (const Section& section : document.sections) {
    if (section.block->name != "route") continue;
    routing::Rule rule;
    rule.host = section.word("host");
    if (section.places.count("path") > 0) rule.path = section.word("path");
    if (const auto it = section.words.find("methods"); it != section.words.end()) rule.methods = it->second;
    if (const auto it = section.words.find("header"); it != section.words.end()) {
      for (std::size_t n = 0; n + 1 < it->second.size(); n += 2) {
        std::string name = it->second[n];
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        rule.fields.emplace_back(std::move(name), it->second[n + 1]);
      }
    }
    rules.push_back(std::move(rule));
    sections.push_back(&section);
    const auto known = std::find(classes.begin(), classes.end(), section.word("class"));
    routes->routes.push_back(
        {section.name, place_of(section.place), static_cast<int>(known - classes.begin())});
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

void take_pool(const Section& pool, Config& config) {
  Settings& s = config.settings;
  s.list_on_request = pool.word("list") != "watched";
  s.ask_every = pool.number("ask_every").value_or(0);
  s.probing = pool.number("probing").value_or(1) > 0;
  s.cancelling = pool.number("cancelling").value_or(1) > 0;
  s.parallel_attempts = pool.number("parallel").value_or(0) > 0;
  s.max_attempts = whole(pool, "attempts", 3);
  s.connect_timeout = pool.number("connect_within").value_or(200);
  s.advise_wait = pool.places.count("advise_wait") > 0;
  s.max_wait_advice = pool.number("advise_wait").value_or(0);
  config.host.idle_timeout = pool.number("idle").value_or(0);
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
  const Section& node = *document.find("node");
  config.name = overrides.name.empty() ? node.name : overrides.name;
  config.listen = address(node, "listen", overrides.listen);
  config.discovery = address(node, "discovery", overrides.discovery);
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
  take_routes(document, config);
  const Section& pool = *document.find("pool");
  take_pool(pool, config);
  auto& zones = config.host.zones;
  if (const std::string zone = node.word("zone"); !zone.empty()) {
    const auto it = std::find(zones.begin(), zones.end(), zone);
    if (it == zones.end()) bad(node, "zone", "zone is " + zone + ", which the pool's zones do not name");
    config.settings.zone = static_cast<int>(it - zones.begin());
  }
  if (const Section* const part = pool.find("subset")) {
    subset::Options options;
    options.target = whole(*part, "size", options.target);
    options.slack = part->number("slack").value_or(options.slack);
    options.whole_up_to = whole(*part, "above", options.target * 2);
    config.fleet.subset = options;
    config.fleet.place.name = subset::hash_of(config.name);
    if (node.number("nodes")) config.fleet.place.nodes = config.settings.instances;
    if (node.number("index")) config.fleet.place.index = config.settings.instance;
  }
  return config;
}

}  // namespace shorelead::node
