#include "lab/experiment.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "lab/experiment_parts.h"

namespace shorelead::lab {

namespace {

constexpr int kMostLike = 4;  // files that each are like another

toml::table parse(std::string_view text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    const toml::source_position from = error.source().begin;
    throw ExperimentError(file + ":" + std::to_string(from.line) + ":" + std::to_string(from.column) + ": " +
                          std::string(error.description()));
  }
}

std::string text_of(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw ExperimentError(path + ": cannot be read");
  return std::move(text).str();
}

// Tables are joined key by key; anything else stands in place of what the other file has.
void lay_over(toml::table& below, toml::table&& over) {
  for (auto&& [key, node] : over) {
    toml::table* const mine = below.get_as<toml::table>(key.str());
    if (mine != nullptr && node.is_table()) {
      lay_over(*mine, std::move(*node.as_table()));
    } else {
      below.insert_or_assign(key, std::move(node));
    }
  }
}

// With `like = "other.toml"`: that file, and this one laid over it.
toml::table whole(toml::table table, const std::string& file, int depth) {
  const toml::node* const like = table.get("like");
  if (like == nullptr) return table;
  const Reader in(table, file, "an experiment");
  const auto other = like->value_exact<std::string>();
  if (!other) in.bad(*like, "\"like\" is not a text in quotes");
  if (depth >= kMostLike) in.bad(*like, "too many files that are like another");
  const std::string path = (std::filesystem::path(file).parent_path() / *other).string();
  toml::table below = whole(parse(text_of(path), path), path, depth + 1);
  table.erase("like");
  lay_over(below, std::move(table));
  return below;
}

}  // namespace

Experiment parse_experiment(std::string_view text, const std::string& file) {
  const toml::table table = whole(parse(text, file), file, 0);
  Reader in(table, file, "an experiment");
  Experiment experiment;
  experiment.file = file;
  experiment.name = in.text("name");
  if (const toml::node* const seed = in.get("seed")) {
    const auto value = seed->value_exact<std::int64_t>();
    if (!value || *value < 0) in.bad(*seed, "\"seed\" is not a whole number from 0 up");
    experiment.seed = static_cast<std::uint64_t>(*value);
  }
  in.time("settle", experiment.settle);
  if (auto fleet = in.table("fleet")) read_fleet(*fleet, experiment.fleet);
  read_pools(in, experiment.fleet);
  if (auto store = in.table("store")) read_store(*store, experiment.store);
  if (auto nodes = in.table("nodes")) {
    read_nodes(*nodes, experiment.nodes, experiment.fleet, experiment.store);
  } else if (!experiment.fleet.pools.empty()) {
    in.bad_here("several pools need [nodes] with \"shore\"");
  }
  if (auto discovery = in.table("discovery")) read_discovery(*discovery, experiment.discovery);
  if (auto rules = in.table("rules")) read_rules(*rules, experiment.rules);
  if (auto clients = in.table("clients")) read_clients(*clients, experiment.clients);
  experiment.tenants = read_tenants(in);
  for (Reader& item : in.tables("class")) {
    ClassSpec spec = read_class(item);
    for (const ClassSpec& other : experiment.classes) {
      if (other.rules.name == spec.rules.name)
        item.bad("name", "two classes are called \"" + spec.rules.name + "\"");
    }
    experiment.classes.push_back(std::move(spec));
  }
  if (experiment.classes.empty()) in.bad_here("an experiment needs at least one [[class]]");
  auto load = in.table("load");
  if (!load) in.bad_here("an experiment needs [load]");
  read_load(*load, experiment.load, file);
  double shares = 0;
  for (const ClassSpec& spec : experiment.classes) {
    experiment.load.shares.push_back(spec.share);
    shares += spec.share;
  }
  if (shares <= 0) in.bad_here("no class has a \"share\" over 0");
  experiment.together = read_together(in, experiment);
  for (Reader& item : in.tables("event")) experiment.timeline.push_back(read_action(item, experiment));
  std::stable_sort(experiment.timeline.begin(), experiment.timeline.end(),
                   [](const Action& a, const Action& b) { return a.at < b.at; });
  if (auto must = in.table("must")) {
    must->flag("rules", experiment.must.rules);
    double served = 0;
    must->share("served", served);
    if (must->has("served")) experiment.must.served = served;
    Millis p99 = 0;
    must->time("p99", p99, false);
    if (must->has("p99")) experiment.must.p99 = p99;
    must->finish();
  }
  if (experiment.discovery.registry && experiment.nodes.shore.empty())
    in.bad_here("a registry needs nodes with \"shore\": the platform's JSON knows discovery only");
  in.finish();
  return experiment;
}

Experiment load_experiment(const std::string& path) { return parse_experiment(text_of(path), path); }

}  // namespace shorelead::lab
