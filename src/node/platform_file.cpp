#include "node/platform_file.h"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <optional>
#include <sstream>

#include "files/whole_file.h"

namespace shorelead::node {
namespace {

// A table of the file. The constructor rejects keys that are not in `keys`.
class Table {
 public:
  Table(const toml::table& table, std::string name, std::string file,
        std::initializer_list<std::string_view> keys)
      : table_(table), name_(std::move(name)), file_(std::move(file)) {
    for (const auto& [key, value] : table_) {
      if (std::find(keys.begin(), keys.end(), key.str()) != keys.end()) continue;
      std::string known;
      for (const std::string_view one : keys) known.append(known.empty() ? "" : ", ").append(one);
      fail(value, "[" + name_ + "] has no key \"" + std::string(key.str()) + "\"; it knows: " + known);
    }
  }

  // Returns the number, which must be from `min` to `max`; none if the key is absent.
  std::optional<double> number(std::string_view key, double min, double max) const {
    const toml::node* const value = table_.get(key);
    if (value == nullptr) return std::nullopt;
    const std::optional<double> number = value->value<double>();
    if (!number || !std::isfinite(*number)) fail(*value, std::string(key) + " is not a number");
    if (*number < min || *number > max) {
      std::ostringstream message;
      message << key << " is " << *number << "; it may be " << min << " to " << max;
      fail(*value, message.str());
    }
    return number;
  }

  std::optional<int> integer(std::string_view key, int min, int max) const {
    const std::optional<double> value = number(key, min, max);
    if (value && *value != std::floor(*value))
      fail(*table_.get(key), std::string(key) + " is not a whole number");
    return value ? std::optional(static_cast<int>(*value)) : std::nullopt;
  }

  [[noreturn]] void fail(const toml::node& node, const std::string& cause) const {
    throw FieldError(file_ + ":" + std::to_string(node.source().begin.line) + ": " + cause);
  }
  const toml::node& node_at(std::string_view key) const { return *table_.get(key); }

 private:
  const toml::table& table_;
  const std::string name_;
  const std::string file_;
};

constexpr int kMaxNodes = 1000000;

void apply_subset(const Table& table, Config& config) {
  subset::Options options;
  options.target = table.integer("size", 2, 100000).value_or(options.target);
  options.slack = table.number("slack", 0.05, 1).value_or(options.slack);
  options.divide_above = table.integer("above", 0, 10000000).value_or(options.target * 2);
  subset::Place& place = config.fleet.place;
  place.name = subset::hash_of(config.name);
  place.nodes = config.settings.instances > 1 ? config.settings.instances : 0;
  if (place.nodes > 0) place.index = config.settings.instance;
  if (const auto nodes = table.integer("nodes", 1, kMaxNodes)) {
    place.nodes = config.settings.instances = *nodes;
    place.index.reset();  // the index in the JSON configuration counts among another number of nodes
  }
  if (const auto index = table.integer("index", 0, kMaxNodes - 1)) {
    place.index = *index;
    if (place.nodes > 0 && *index >= place.nodes) {
      table.fail(table.node_at("index"), "index is " + std::to_string(*index) + ", but there are " +
                                             std::to_string(place.nodes) + " nodes, counted from 0");
    }
  }
  config.fleet.subset = options;
}

}  // namespace

void apply_platform_file(std::string_view text, const std::string& file, Config& config) {
  toml::table document;
  try {
    document = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw FieldError(file + ":" + std::to_string(error.source().begin.line) + ": " +
                     std::string(error.description()));
  }
  const Table top(document, "file", file, {"subset", "probes"});
  const auto table = [&](const char* name) -> const toml::table* {
    const toml::node* const node = document.get(name);
    if (node != nullptr && !node->is_table()) top.fail(*node, std::string(name) + " is not a table");
    return node == nullptr ? nullptr : node->as_table();
  };
  if (const toml::table* const subset = table("subset")) {
    apply_subset(Table(*subset, "subset", file, {"size", "above", "slack", "nodes", "index"}), config);
  }
  if (const toml::table* const probes = table("probes")) {
    const Table limits(*probes, "probes", file, {"per_second", "per_box"});
    config.settings.max_probes_per_second = limits.number("per_second", 0.1, 1e6).value_or(0);
    config.settings.max_probes_per_backend = limits.number("per_box", 0.01, 1e4).value_or(0);
  }
}

void load_platform_file(const std::string& path, Config& config) {
  if (path.empty()) return;
  files::ReadResult file = files::read_whole(path);
  if (file.status == files::ReadStatus::kFailed) throw UnreadableConfig("the platform file " + file.cause);
  if (file.status == files::ReadStatus::kAbsent || file.text.empty())
    throw FieldError("cannot read the platform file at \"" + path + "\"");
  apply_platform_file(std::move(file.text), path, config);
}

}  // namespace shorelead::node
