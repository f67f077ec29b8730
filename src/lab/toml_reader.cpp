#include "lab/toml_reader.h"

#include <charconv>
#include <cmath>
#include <sstream>

namespace shorelead::lab {

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

void Reader::fail(const toml::source_region& where, const std::string& cause) const {
  const std::string& file = where.path ? *where.path : file_;
  throw ExperimentError(file + ":" + std::to_string(where.begin.line) + ":" +
                        std::to_string(where.begin.column) + ": " + cause);
}

void Reader::bad(const toml::node& at, const std::string& cause) const { fail(at.source(), cause); }

void Reader::bad(const std::string& key, const std::string& cause) const {
  const toml::node* const node = table_.get(key);
  bad(node != nullptr ? *node : table_, cause);
}

const toml::node* Reader::get(const std::string& key) {
  known_.insert(key);
  return table_.get(key);
}

const toml::node& Reader::need(const std::string& key) {
  const toml::node* const node = get(key);
  if (node == nullptr) bad_here(place_ + " needs \"" + key + "\"");
  return *node;
}

std::string Reader::text(const std::string& key) {
  const toml::node& node = need(key);
  const auto value = node.value_exact<std::string>();
  if (!value) bad(node, "\"" + key + "\" is not a text in quotes");
  if (value->empty()) bad(node, "\"" + key + "\" is empty");
  return *value;
}

void Reader::text(const std::string& key, std::string& value) {
  if (get(key) != nullptr) value = text(key);
}

void Reader::number(const std::string& key, double& value, double least, double most) {
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

void Reader::whole(const std::string& key, int& value, int least, int most) {
  const toml::node* const node = get(key);
  if (node == nullptr) return;
  if (!node->is_integer()) bad(*node, "\"" + key + "\" is not a whole number");
  double given = value;
  number(key, given, least, most);
  value = static_cast<int>(given);
}

void Reader::flag(const std::string& key, bool& value) {
  const toml::node* const node = get(key);
  if (node == nullptr) return;
  const auto given = node->value_exact<bool>();
  if (!given) bad(*node, "\"" + key + "\" is not true or false");
  value = *given;
}

void Reader::time(const std::string& key, Millis& value, bool may_be_none) {
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
  if (!parsed) bad(*node, "\"" + *given + "\" is not a time; write it as \"410 ms\", \"1.5 s\" or \"2 min\"");
  if (!may_be_none && *parsed <= 0) bad(*node, "\"" + key + "\" must be longer than none");
  value = *parsed;
}

std::vector<int> Reader::wholes(const std::string& key, int below, const std::string& of) {
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

std::vector<std::string> Reader::texts(const std::string& key) {
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

std::optional<Reader> Reader::table(const std::string& key) {
  const toml::node* const node = get(key);
  if (node == nullptr) return std::nullopt;
  if (!node->is_table()) bad(*node, "\"" + key + "\" is not a table: write [" + key + "]");
  return Reader(*node->as_table(), file_, "[" + key + "]");
}

std::vector<Reader> Reader::tables(const std::string& key) {
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

void Reader::finish() const {
  for (const auto& [key, node] : table_) {
    const std::string name(key.str());
    if (known_.contains(name)) continue;
    fail(key.source(), place_ + " has no key \"" + name + "\"" + did_you_mean(name, known_));
  }
}

}  // namespace shorelead::lab
