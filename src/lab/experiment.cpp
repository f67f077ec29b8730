#include "lab/experiment.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <limits>
#include <set>
#include <sstream>

namespace shorelead::lab {
namespace {

std::size_t distance(std::string_view a, std::string_view b) {  // Levenshtein
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      row[j] = std::min({above + 1, row[j - 1] + 1, corner + (a[i - 1] == b[j - 1] ? 0 : 1)});
      corner = above;
    }
  }
  return row[b.size()];
}

template <typename Names>
std::string did_you_mean(std::string_view word, const Names& names) {
  std::string best;
  std::size_t least = 3;
  for (const std::string& name : names) {
    const std::size_t far = distance(word, name);
    if (far < least) {
      least = far;
      best = name;
    }
  }
  return best.empty() ? "" : "; did you mean \"" + best + "\"?";
}

template <typename Names>
std::string list_of(const Names& names) {
  std::string text;
  for (const auto& name : names) text += (text.empty() ? "" : ", ") + std::string(name);
  return text;
}

// A table that knows which of its keys were asked for: one that was not is unknown.
class Reader {
 public:
  Reader(const toml::table& table, std::string file, std::string place)
      : table_(table), file_(std::move(file)), place_(std::move(place)) {}

  [[noreturn]] void bad(const toml::node& at, const std::string& cause) const {
    const toml::source_position from = at.source().begin;
    throw ExperimentError(file_ + ":" + std::to_string(from.line) + ":" + std::to_string(from.column) + ": " +
                          cause);
  }
  [[noreturn]] void bad(const std::string& key, const std::string& cause) const {
    const toml::node* const node = table_.get(key);
    bad(node != nullptr ? *node : table_, cause);
  }
  [[noreturn]] void bad_here(const std::string& cause) const { bad(table_, cause); }

  int line() const { return static_cast<int>(table_.source().begin.line); }
  bool has(const std::string& key) const { return table_.contains(key); }

  const toml::node* get(const std::string& key) {
    known_.insert(key);
    return table_.get(key);
  }

  const toml::node& need(const std::string& key) {
    const toml::node* const node = get(key);
    if (node == nullptr) bad_here(place_ + " needs \"" + key + "\"");
    return *node;
  }

  std::string text(const std::string& key) {
    const toml::node& node = need(key);
    const auto value = node.value_exact<std::string>();
    if (!value) bad(node, "\"" + key + "\" is not a text in quotes");
    if (value->empty()) bad(node, "\"" + key + "\" is empty");
    return *value;
  }
  void text(const std::string& key, std::string& value) {
    if (get(key) != nullptr) value = text(key);
  }

  // One word out of several; its place in the list.
  template <std::size_t N>
  std::size_t word(const std::string& key, const std::array<std::string, N>& words) {
    const std::string given = text(key);
    const auto at = std::find(words.begin(), words.end(), given);
    if (at == words.end()) {
      bad(key, "\"" + given + "\" is none of " + list_of(words) + did_you_mean(given, words));
    }
    return static_cast<std::size_t>(at - words.begin());
  }

  void number(const std::string& key, double& value, double least, double most) {
    const toml::node* const node = get(key);
    if (node == nullptr) return;
    if (node->is_string() && parse_time(*node->value<std::string>())) {
      bad(*node, "\"" + key + "\" is a plain number, not a time");
    }
    const auto given = node->value<double>();
    if (!node->is_number() || !given) bad(*node, "\"" + key + "\" is not a number");
    if (!(*given >= least && *given <= most)) {
      std::ostringstream cause;
      cause << "\"" << key << "\" is " << *given << ", not from " << least;
      most < std::numeric_limits<double>::max() ? cause << " to " << most : cause << " up";
      bad(*node, cause.str());
    }
    value = *given;
  }
  void share(const std::string& key, double& value) { number(key, value, 0, 1); }

  void whole(const std::string& key, int& value, int least, int most) {
    const toml::node* const node = get(key);
    if (node == nullptr) return;
    if (!node->is_integer()) bad(*node, "\"" + key + "\" is not a whole number");
    double given = value;
    number(key, given, least, most);
    value = static_cast<int>(given);
  }

  void flag(const std::string& key, bool& value) {
    const toml::node* const node = get(key);
    if (node == nullptr) return;
    const auto given = node->value_exact<bool>();
    if (!given) bad(*node, "\"" + key + "\" is not true or false");
    value = *given;
  }

  void time(const std::string& key, Millis& value, bool may_be_none = true) {
    const toml::node* const node = get(key);
    if (node == nullptr) return;
    if (node->is_number()) {
      std::ostringstream cause;
      cause << "\"" << key << "\" has no unit; \"" << *node->value<double>() << " ms\" was probably meant";
      bad(*node, cause.str());
    }
    const auto given = node->value_exact<std::string>();
    if (!given) bad(*node, "\"" + key + "\" is not a time such as \"410 ms\"");
    const auto parsed = parse_time(*given);
    if (!parsed)
      bad(*node, "\"" + *given + "\" is not a time; write it as \"410 ms\", \"1.5 s\" or \"2 min\"");
    if (!may_be_none && *parsed <= 0) bad(*node, "\"" + key + "\" must be longer than none");
    value = *parsed;
  }

  std::vector<int> wholes(const std::string& key, int below, const std::string& of) {
    std::vector<int> values;
    const toml::node* const node = get(key);
    if (node == nullptr) return values;
    const toml::array* const array = node->as_array();
    if (array == nullptr) bad(*node, "\"" + key + "\" is not a list of numbers such as [0, 2]");
    for (const toml::node& item : *array) {
      const auto value = item.value_exact<std::int64_t>();
      if (!value) bad(item, "\"" + key + "\" holds something that is not a whole number");
      if (*value < 0 || *value >= below) {
        bad(item, "there is no " + of + " " + std::to_string(*value) + ": they go from 0 to " +
                      std::to_string(below - 1));
      }
      values.push_back(static_cast<int>(*value));
    }
    return values;
  }

  std::vector<std::string> texts(const std::string& key) {
    std::vector<std::string> values;
    const toml::node* const node = get(key);
    if (node == nullptr) return values;
    const toml::array* const array = node->as_array();
    if (array == nullptr || array->empty()) bad(*node, "\"" + key + "\" is not a list of texts");
    for (const toml::node& item : *array) {
      const auto value = item.value_exact<std::string>();
      if (!value || value->empty()) bad(item, "\"" + key + "\" holds something that is not a text");
      values.push_back(*value);
    }
    return values;
  }

  std::optional<Reader> table(const std::string& key) {
    const toml::node* const node = get(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) bad(*node, "\"" + key + "\" is not a table: write [" + key + "]");
    return Reader(*node->as_table(), file_, "[" + key + "]");
  }

  std::vector<Reader> tables(const std::string& key) {
    std::vector<Reader> readers;
    const toml::node* const node = get(key);
    if (node == nullptr) return readers;
    const toml::array* const array = node->as_array();
    if (array == nullptr || !array->is_homogeneous<toml::table>()) {
      bad(*node, "\"" + key + "\" is not a list of tables: write [[" + key + "]]");
    }
    for (const toml::node& item : *array) readers.emplace_back(*item.as_table(), file_, "[[" + key + "]]");
    return readers;
  }

  // Every key must have been asked for by now.
  void finish() const {
    for (const auto& [key, node] : table_) {
      const std::string name(key.str());
      if (known_.contains(name)) continue;
      const toml::source_position from = key.source().begin;
      throw ExperimentError(file_ + ":" + std::to_string(from.line) + ":" + std::to_string(from.column) +
                            ": " + place_ + " has no key \"" + name + "\"" + did_you_mean(name, known_));
    }
  }

 private:
  const toml::table& table_;
  std::string file_;
  std::string place_;
  std::set<std::string> known_;
};

constexpr double kMost = std::numeric_limits<double>::max();

void read_fleet(Reader& in, FleetSpec& fleet) {
  in.whole("boxes", fleet.boxes, 1, 20000);
  if (in.has("zones")) fleet.zones = in.texts("zones");
  in.whole("cells", fleet.cells, 1, 20000);
  in.whole("cores", fleet.spec.cores, 1, 1024);
  in.number("speed", fleet.spec.speed, 0.001, 1000);
  in.whole("queue", fleet.spec.queue, 0, 1000000);
  in.time("connection_work", fleet.spec.connection_work);
  in.share("cold_from", fleet.spec.cold_from);
  if (fleet.spec.cold_from <= 0)
    in.bad("cold_from", "a box that starts with none of its speed never warms up");
  in.time("warm_up", fleet.spec.warm_up);
  in.number("fall_multiple", fleet.spec.fall_multiple, 1, kMost);
  in.time("fall_span", fleet.spec.fall_span);
  if (fleet.spec.fall_span > 0 && fleet.spec.fall_multiple == 0) {
    in.bad("fall_span", "\"fall_span\" says nothing without \"fall_multiple\"");
  }
  in.flag("reports", fleet.reports);
  in.time("report_age", fleet.report_age);
  in.share("error_rate", fleet.error_rate);
  in.time("idle_close", fleet.idle_close, false);
  in.time("latency", fleet.latency);
  in.time("jitter", fleet.jitter);
  if (fleet.jitter > fleet.latency)
    in.bad("jitter", "\"jitter\" is over \"latency\": a link would answer early");
  in.whole("port_base", fleet.port_base, 0, 65000);
  in.finish();
}

ClassSpec read_class(Reader& in) {
  static const std::array<std::string, 3> kEffects{"safe", "keyed", "unsafe"};
  static const std::array<std::string, 3> kGroups{"all", "zone", "cell"};
  static const std::array<std::string, 4> kShapes{"constant", "exponential", "lognormal", "pareto"};
  ClassSpec spec;
  spec.rules.name = in.text("name");
  if (spec.rules.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") != std::string::npos) {
    in.bad("name", "a class is named by a-z, 0-9, - and _: it stands in the path");
  }
  spec.rules.effect = static_cast<Effect>(in.word("effect", kEffects));
  if (in.has("group")) spec.rules.group = static_cast<Group>(in.word("group", kGroups));
  in.time("window", spec.rules.window, false);
  if (spec.rules.effect != Effect::kKeyed && (in.has("group") || in.has("window"))) {
    in.bad(in.has("group") ? "group" : "window", "only keyed requests have a group and a window");
  }
  if (spec.rules.effect == Effect::kKeyed && spec.rules.window <= 0) {
    in.bad_here("a keyed class needs \"window\": how long boxes know its keys");
  }
  in.need("aim");
  in.need("give_up");
  in.time("aim", spec.rules.aim, false);
  in.time("give_up", spec.rules.give_up, false);
  if (spec.rules.aim > spec.rules.give_up) in.bad("aim", "\"aim\" is later than \"give_up\"");
  in.number("worth", spec.rules.worth, 0, kMost);
  in.need("work");
  in.time("work", spec.work.mean, false);
  if (in.has("dist")) spec.work.shape = static_cast<Shape>(in.word("dist", kShapes));
  in.number("cv", spec.work.cv, 0.001, 100);
  in.number("alpha", spec.work.alpha, 0.1, 10);
  in.number("bound", spec.work.bound, 1.001, 1e6);
  if (in.has("cv") && spec.work.shape != Shape::kLognormal)
    in.bad("cv", "only a lognormal \"dist\" has a \"cv\"");
  for (const char* key : {"alpha", "bound"}) {
    if (in.has(key) && spec.work.shape != Shape::kPareto) {
      in.bad(key, "only a pareto \"dist\" has \"" + std::string(key) + "\"");
    }
  }
  in.number("share", spec.share, 0, kMost);
  in.whole("body", spec.body, 0, 60000);
  in.finish();
  return spec;
}

void read_load(Reader& in, LoadPlan& load, const std::string& file) {
  static const std::array<std::string, 5> kArrivals{"poisson", "constant", "bursts", "ramp", "trace"};
  if (in.has("arrivals")) load.arrivals = static_cast<Arrivals>(in.word("arrivals", kArrivals));
  in.number("rate", load.rate, 0.01, 1e6);
  in.need("for");
  in.time("for", load.span, false);
  in.time("burst_every", load.burst_every, false);
  in.time("burst_length", load.burst_length, false);
  if (load.burst_length > load.burst_every)
    in.bad("burst_length", "a burst is longer than the time between two");
  in.number("ramp_to", load.ramp_to, 0, 1000);
  if (load.arrivals == Arrivals::kTrace) {
    load.trace = in.text("trace");
    const std::filesystem::path path(load.trace);
    if (path.is_relative()) load.trace = (std::filesystem::path(file).parent_path() / path).string();
  } else if (in.has("trace")) {
    in.bad("trace", "\"trace\" is read only where arrivals = \"trace\"");
  }
  for (Reader& step : in.tables("step")) {
    Step next;
    step.need("at");
    step.time("at", next.at);
    step.need("factor");
    step.number("factor", next.factor, 0, 10000);
    if (!load.steps.empty() && next.at < load.steps.back().at) step.bad("at", "earlier than the step before");
    step.finish();
    load.steps.push_back(next);
  }
  in.finish();
}

const std::array<std::string, 15>& bad_kinds() {
  static const std::array<std::string, 15> kKinds{
      "noise",       "endless_head", "bad_length",    "negative_length", "huge_length",
      "big_body",    "no_class",     "bad_deadline",  "no_id",           "half",
      "two_lengths", "silent",       "both_framings", "bare_lf",         "space_in_name"};
  return kKinds;
}

void read_clients(Reader& in, ClientsSpec& clients) {
  in.whole("retries", clients.retries, 0, 100);
  in.time("backoff", clients.backoff);
  in.share("honour", clients.honour);
  in.share("leave", clients.leave);
  in.share("drop", clients.drop);
  in.number("bad_per_second", clients.bad_per_second, 0, 10000);
  if (in.has("bad_kinds")) clients.bad_kinds = in.texts("bad_kinds");
  for (const std::string& kind : clients.bad_kinds) {
    const auto& all = bad_kinds();
    if (std::find(all.begin(), all.end(), kind) == all.end()) {
      in.bad("bad_kinds", "\"" + kind + "\" is none of " + list_of(all) + did_you_mean(kind, all));
    }
  }
  if (clients.bad_kinds.empty()) clients.bad_kinds.assign(bad_kinds().begin(), bad_kinds().end());
  in.finish();
}

Action read_action(Reader& in, const Experiment& experiment) {
  static const std::array<std::string, 10> kKinds{"kill",      "stall",      "drain",     "deploy",
                                                  "slow",      "link",       "discovery", "node_kill",
                                                  "node_term", "node_reload"};
  static const std::array<std::string, 9> kLinkFaults{"black_hole", "latency", "reset",   "truncate", "drip",
                                                      "noise",      "second",  "interim", "endless"};
  static const std::array<std::string, 3> kDiscoveryFaults{"down", "restart", "empty"};
  Action action;
  action.line = in.line();
  action.kind = static_cast<Action::Kind>(in.word("do", kKinds));
  in.need("at");
  in.time("at", action.at);
  const Action::Kind kind = action.kind;
  const bool on_boxes = kind <= Action::Kind::kLink;
  if (on_boxes) {
    in.share("part", action.part);
    action.boxes = in.wholes("boxes", experiment.fleet.boxes, "box");
    in.text("zone", action.zone);
    const auto& zones = experiment.fleet.zones;
    if (!action.zone.empty() && std::find(zones.begin(), zones.end(), action.zone) == zones.end()) {
      in.bad("zone", "there is no zone \"" + action.zone + "\"" + did_you_mean(action.zone, zones));
    }
    const int ways = (action.part > 0) + !action.boxes.empty() + !action.zone.empty();
    if (ways != 1) in.bad_here("say which boxes by just one of \"part\", \"boxes\" and \"zone\"");
  }
  if (kind == Action::Kind::kLink || kind >= Action::Kind::kNodeKill) {
    action.nodes = in.wholes("nodes", experiment.nodes.count, "node");
  }
  if (kind == Action::Kind::kKill || kind == Action::Kind::kDrain || kind == Action::Kind::kDeploy ||
      kind == Action::Kind::kNodeKill || kind == Action::Kind::kNodeTerm) {
    in.time("back", action.back);
    if (kind >= Action::Kind::kDeploy && action.back <= 0) action.back = 500;
  }
  if (kind == Action::Kind::kKill || kind == Action::Kind::kDrain || kind == Action::Kind::kDeploy) {
    in.flag("same_address", action.same_address);
  }
  if (kind == Action::Kind::kDrain || kind == Action::Kind::kDeploy) in.time("drain_time", action.drain_time);
  if (kind == Action::Kind::kDeploy) in.whole("batch", action.batch, 1, 20000);
  if (kind == Action::Kind::kStall) {
    in.need("least");
    in.time("least", action.least, false);
    action.most = action.least;
    in.time("most", action.most, false);
    if (action.most < action.least) in.bad("most", "\"most\" is less than \"least\"");
    in.time("every", action.every, false);
  }
  if (kind == Action::Kind::kSlow) {
    in.need("factor");
    in.number("factor", action.factor, 0.001, 1000);
  }
  if (kind == Action::Kind::kLink) {
    action.fault = kLinkFaults[in.word("fault", kLinkFaults)];
    in.share("share", action.share);
    in.time("latency", action.latency);
    in.whole("after_bytes", action.after_bytes, 0, 1 << 20);
    if (action.fault == "latency" && action.latency <= 0)
      in.bad("fault", "\"latency\" needs its \"latency\"");
  }
  if (kind == Action::Kind::kNodeReload) in.time("every", action.every, false);
  if (kind == Action::Kind::kDiscovery) action.fault = kDiscoveryFaults[in.word("fault", kDiscoveryFaults)];
  const bool lasts =
      kind == Action::Kind::kLink || kind == Action::Kind::kSlow ||
      ((kind == Action::Kind::kStall || kind == Action::Kind::kNodeReload) && action.every > 0) ||
      (kind == Action::Kind::kDiscovery && action.fault != "restart");
  if (lasts) {
    in.need("for");
    in.time("for", action.length, false);
  }
  if (action.at > experiment.load.span) in.bad("at", "it comes after the load has ended");
  in.finish();
  return action;
}

void read_nodes(Reader& in, NodesSpec& nodes, const FleetSpec& fleet) {
  in.whole("count", nodes.count, 1, 200);
  in.whole("sockets", nodes.sockets, 64, 1000000);
  in.whole("memory_mb", nodes.memory_mb, 8, 1000000);
  in.time("notice", nodes.notice);
  in.text("own", nodes.own);
  if (in.has("shore")) nodes.shore = in.texts("shore");
  if (!nodes.shore.empty() && !nodes.own.empty())
    in.bad("own", "\"own\" goes with the platform's JSON, not with \"shore\"");
  if (nodes.shore.empty() && !fleet.pools.empty())
    in.bad_here("several pools need \"shore\": the platform's JSON knows one");
  const auto known = place_names(fleet);
  for (const std::string& text : nodes.shore) {
    for (std::size_t at = text.find('@'); at != std::string::npos; at = text.find('@', at + 1)) {
      const std::size_t end = text.find('@', at + 1);
      if (end == std::string::npos) in.bad("shore", "an \"@\" is not closed by another");
      const std::string name = text.substr(at + 1, end - at - 1);
      if (std::find(known.begin(), known.end(), name) == known.end()) {
        in.bad("shore", "nothing is put in for \"@" + name + "@\"" + did_you_mean(name, known));
      }
      at = end;
    }
  }
  in.finish();
}

}  // namespace

std::vector<std::string> place_names(const FleetSpec& fleet) {
  std::vector<std::string> names{"listen", "seed", "nodes", "index", "zone", "discovery"};
  for (const PoolSpec& pool : fleet.pools) names.push_back("discovery." + pool.name);
  return names;
}

int FleetSpec::pool_of(int box) const {
  int pool = 0;
  for (int end = 0; pool < static_cast<int>(pools.size()); ++pool) {
    end += pools[static_cast<std::size_t>(pool)].boxes;
    if (box < end) return pool;
  }
  return 0;
}

std::optional<Millis> parse_time(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || !std::isfinite(value) || value < 0) return std::nullopt;
  while (rest != end && *rest == ' ') ++rest;
  const std::string_view unit(rest, static_cast<std::size_t>(end - rest));
  if (unit == "us") return value / 1000;
  if (unit == "ms") return value;
  if (unit == "s") return value * 1000;
  if (unit == "min") return value * 60000;
  return std::nullopt;
}

Experiment parse_experiment(std::string_view text, const std::string& file) {
  toml::table table;
  try {
    table = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    const toml::source_position from = error.source().begin;
    throw ExperimentError(file + ":" + std::to_string(from.line) + ":" + std::to_string(from.column) + ": " +
                          std::string(error.description()));
  }
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
  int in_pools = 0;
  for (Reader& item : in.tables("pool")) {
    PoolSpec pool;
    pool.name = item.text("name");
    item.need("boxes");
    item.whole("boxes", pool.boxes, 1, 20000);
    item.finish();
    for (const PoolSpec& other : experiment.fleet.pools) {
      if (other.name == pool.name) item.bad("name", "two pools are called \"" + pool.name + "\"");
    }
    in_pools += pool.boxes;
    experiment.fleet.pools.push_back(std::move(pool));
  }
  if (in_pools > 0 && in_pools != experiment.fleet.boxes) {
    in.bad_here("the pools have " + std::to_string(in_pools) + " boxes together, and the fleet " +
                std::to_string(experiment.fleet.boxes));
  }
  if (auto nodes = in.table("nodes")) {
    read_nodes(*nodes, experiment.nodes, experiment.fleet);
  } else if (!experiment.fleet.pools.empty()) {
    in.bad_here("several pools need [nodes] with \"shore\"");
  }
  if (auto discovery = in.table("discovery")) {
    discovery->time("late_min", experiment.discovery.late_min);
    experiment.discovery.late_max = std::max(experiment.discovery.late_min, experiment.discovery.late_max);
    discovery->time("late_max", experiment.discovery.late_max);
    if (experiment.discovery.late_max < experiment.discovery.late_min) {
      discovery->bad("late_max", "\"late_max\" is less than \"late_min\"");
    }
    static const std::array<std::string, 2> kKinds{"discovery", "registry"};
    if (discovery->has("kind")) experiment.discovery.registry = discovery->word("kind", kKinds) == 1;
    discovery->whole("members", experiment.discovery.members, 1, 9);
    discovery->share("cuts", experiment.discovery.cuts);
    discovery->time("compact_every", experiment.discovery.compact_every);
    discovery->whole("lag", experiment.discovery.lag, 0, 1000);
    discovery->share("deaf", experiment.discovery.deaf);
    for (const char* const key : {"members", "cuts", "compact_every", "lag", "deaf"}) {
      if (discovery->has(key) && !experiment.discovery.registry)
        discovery->bad(key, std::string("\"") + key + "\" is of a registry: kind = \"registry\"");
    }
    discovery->finish();
  }
  if (auto rules = in.table("rules")) {
    rules->whole("most_attempts", experiment.rules.most_attempts, 1, 5);
    rules->flag("parallel", experiment.rules.parallel);
    rules->flag("cancel", experiment.rules.cancel);
    rules->flag("retry_after", experiment.rules.retry_after);
    rules->time("drain_grace", experiment.rules.drain_grace);
    rules->time("connect_timeout", experiment.rules.connect_timeout, false);
    rules->finish();
  }
  if (auto clients = in.table("clients")) {
    read_clients(*clients, experiment.clients);
  }
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

Experiment load_experiment(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw ExperimentError(path + ": cannot be read");
  return parse_experiment(std::move(text).str(), path);
}

}  // namespace shorelead::lab
