// Reading TOML (toml++) so that nothing wrong passes: unknown keys, numbers without their unit, impossible
// values are errors with file, line, column, cause and a likely fix. Owns that reading only; it must never
// know what an experiment means.
#pragma once

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/experiment.h"

namespace shorelead::lab {

std::size_t distance(std::string_view a, std::string_view b);  // Levenshtein

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

  [[noreturn]] void bad(const toml::node& at, const std::string& cause) const;
  [[noreturn]] void bad(const std::string& key, const std::string& cause) const;
  [[noreturn]] void bad_here(const std::string& cause) const { bad(table_, cause); }

  int line() const { return static_cast<int>(table_.source().begin.line); }
  bool has(const std::string& key) const { return table_.contains(key); }

  const toml::node* get(const std::string& key);
  const toml::node& need(const std::string& key);
  std::string text(const std::string& key);
  void text(const std::string& key, std::string& value);
  // One word out of several; its place in the list.
  template <std::size_t N>
  std::size_t word(const std::string& key, const std::array<std::string, N>& words) {
    const std::string given = text(key);
    return one_of(key, given, words);
  }
  // The place of a name in a list of known ones; `what` says what they are names of.
  template <typename Names>
  std::size_t one_of(const std::string& key, const std::string& given, const Names& names) const {
    const auto at = std::find(names.begin(), names.end(), given);
    if (at == names.end()) {
      bad(key, "\"" + given + "\" is none of " + list_of(names) + did_you_mean(given, names));
    }
    return static_cast<std::size_t>(at - names.begin());
  }
  void number(const std::string& key, double& value, double least, double most);
  void share(const std::string& key, double& value) { number(key, value, 0, 1); }
  void whole(const std::string& key, int& value, int least, int most);
  void flag(const std::string& key, bool& value);
  void time(const std::string& key, Millis& value, bool may_be_none = true);
  std::vector<int> wholes(const std::string& key, int below, const std::string& of);
  std::vector<std::string> texts(const std::string& key);
  std::optional<Reader> table(const std::string& key);
  std::vector<Reader> tables(const std::string& key);

  void finish() const;  // every key must have been asked for by now

 private:
  [[noreturn]] void fail(const toml::source_region& where, const std::string& cause) const;

  const toml::table& table_;
  std::string file_;
  std::string place_;
  std::set<std::string> known_;
};

inline constexpr double kMost = std::numeric_limits<double>::max();

}  // namespace shorelead::lab
