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

// One table of the file, with the keys that it may have.
class Table {
 public:
  Table(const toml::table& table, std::string name, std::string file,
        std::initializer_list<std::string_view> keys)
      : table_(table), name_(std::move(name)), file_(std::move(file)) {
    for (const auto& [key, value] : table_) {
      if (std::find(keys.begin(), keys.end(), key.str()) != keys.end()) continue;
      std::string known;
      for (const std::string_view one : keys) known.append(known.empty() ? "" : ", ").append(one);
      bad(value, "[" + name_ + "] has no key \"" + std::string(key.str()) + "\"; it knows: " + known);
    }
  }

  // A number from `least` to `most`; none where the key is absent.
  std::optional<double> number(std::string_view key, double least, double most) const {
    const toml::node* const value = table_.get(key);
    if (value == nullptr) return std::nullopt;
    const std::optional<double> number = value->value<double>();
    if (!number || !std::isfinite(*number)) bad(*value, std::string(key) + " is not a number");
    if (*number < least || *number > most) {
      std::ostringstream words;
      words << key << " is " << *number << "; it may be " << least << " to " << most;
      bad(*value, words.str());
    }
    return number;
  }

  std::optional<int> whole(std::string_view key, int least, int most) const {
    const std::optional<double> value = number(key, least, most);
    if (value && *value != std::floor(*value))
      bad(*table_.get(key), std::string(key) + " is not a whole number");
    return value ? std::optional(static_cast<int>(*value)) : std::nullopt;
  }

  [[noreturn]] void bad(const toml::node& at, const std::string& cause) const {
    throw FieldError(file_ + ":" + std::to_string(at.source().begin.line) + ": " + cause);
  }
  const toml::node& at(std::string_view key) const { return *table_.get(key); }

 private:
  const toml::table& table_;
  const std::string name_;
  const std::string file_;
};

constexpr int kMostNodes = 1000000;

void apply_subset(const Table& table, Config& config) {
  subset::Options options;
  options.target = table.whole("size", 2, 100000).value_or(options.target);
  options.slack = table.number("slack", 0.05, 1).value_or(options.slack);
  options.divide_above = table.whole("above", 0, 10000000).value_or(options.target * 2);
  subset::Place& place = config.fleet.place;
  place.name = subset::hash_of(config.name);
  place.nodes = config.settings.instances > 1 ? config.settings.instances : 0;
  if (place.nodes > 0) place.index = config.settings.instance;
  if (const auto nodes = table.whole("nodes", 1, kMostNodes)) {
    place.nodes = config.settings.instances = *nodes;
    place.index.reset();  // the platform's counts among other nodes
  }
  if (const auto index = table.whole("index", 0, kMostNodes - 1)) {
    place.index = *index;
    if (place.nodes > 0 && *index >= place.nodes) {
      table.bad(table.at("index"), "index is " + std::to_string(*index) + ", but there are " +
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
    if (node != nullptr && !node->is_table()) top.bad(*node, std::string(name) + " is not a table");
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
  if (file.status == files::ReadStatus::kFailed) throw UnreadableConfig("the file of our own " + file.cause);
  if (file.status == files::ReadStatus::kAbsent || file.text.empty())
    throw FieldError("cannot read the file of our own at \"" + path + "\"");
  apply_platform_file(std::move(file.text), path, config);
}

}  // namespace shorelead::node
