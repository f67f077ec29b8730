#include "language/units.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>
#include <utility>

namespace shorelead::language {

namespace {

constexpr std::size_t kMaxSuggestionDistance = 2;  // largest edit distance of a suggestion

constexpr std::array<Unit, 12> kUnits = {{{"us", Type::kTime, 0.001},
                                          {"ms", Type::kTime, 1},
                                          {"s", Type::kTime, 1000},
                                          {"min", Type::kTime, 60000},
                                          {"h", Type::kTime, 3600000},
                                          {"B", Type::kSize, 1},
                                          {"KiB", Type::kSize, 1024},
                                          {"MiB", Type::kSize, 1048576},
                                          {"GiB", Type::kSize, 1073741824},
                                          {"rps", Type::kRate, 1},
                                          {"rpm", Type::kRate, 1.0 / 60},
                                          {"%", Type::kShare, 0.01}}};

std::size_t edit_distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t cost = std::min({row[j] + 1, row[j - 1] + 1, diagonal + (a[i - 1] != b[j - 1])});
      diagonal = std::exchange(row[j], cost);
    }
  }
  return row[b.size()];
}

}  // namespace

const Unit* find_unit(std::string_view name) {
  const auto it =
      std::find_if(kUnits.begin(), kUnits.end(), [name](const Unit& u) { return u.name == name; });
  return it == kUnits.end() ? nullptr : &*it;
}

std::string_view type_phrase(Type type) {
  switch (type) {
    case Type::kTime:
      return "a time";
    case Type::kRate:
      return "a rate";
    case Type::kShare:
      return "a share";
    case Type::kSize:
      return "a size";
    case Type::kCount:
      return "a whole number without a unit";
    case Type::kNumber:
      return "a number without a unit";
    case Type::kWord:
    case Type::kWords:
    case Type::kPair:
    case Type::kShares:
      return "a word";
    case Type::kAddress:
      return "an address with a port";
    case Type::kFlag:
      return "yes or no";
  }
  return "something else";
}

std::string number_text(double value) {
  std::ostringstream out;
  out.precision(12);
  out << value;
  return out.str();
}

std::string source_text(const Value& v) {
  if (v.kind == Value::Kind::kString) return "\"" + v.text + "\"";
  if (v.kind == Value::Kind::kVariable) return "$" + v.text;
  return v.unit.empty() ? v.text : v.text + " " + v.unit;
}

std::string did_you_mean(std::string_view given, const std::vector<std::string>& known) {
  const std::string* best = nullptr;
  for (const std::string& one : known) {
    if (best == nullptr || edit_distance(given, one) < edit_distance(given, *best)) best = &one;
  }
  if (best != nullptr && edit_distance(given, *best) <= kMaxSuggestionDistance &&
      edit_distance(given, *best) < given.size()) {
    return "did you mean \"" + *best + "\"?";
  }
  std::string all;
  for (const std::string& one : known) all += (all.empty() ? "" : ", ") + one;
  return all.empty() ? "" : "it knows: " + all;
}

std::vector<std::string> split_text(std::string_view text, char by) {
  std::vector<std::string> all;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(by), text.size());
    all.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return all;
}
std::string with_unit(Type type, double value) {
  switch (type) {
    case Type::kTime:
      for (const char* const unit : {"h", "min", "s"}) {
        const double factor = find_unit(unit)->factor;
        if (value >= factor && std::fmod(value, factor) == 0) return number_text(value / factor) + " " + unit;
      }
      return number_text(value) + " ms";
    case Type::kRate:
      return number_text(value) + " rps";
    case Type::kShare:
      return number_text(value * 100) + " %";
    case Type::kSize:
      return std::fmod(value, 1048576) == 0 ? number_text(value / 1048576) + " MiB"
                                            : number_text(value) + " B";
    default:
      return number_text(value);
  }
}

std::string example(const Field& f) {
  switch (f.type) {
    case Type::kTime:
      return "as in: 410 ms";
    case Type::kRate:
      return "as in: 250 rps";
    case Type::kShare:
      return "as in: 35 %";
    case Type::kSize:
      return "as in: 64 KiB";
    default:
      return "as in: 5";
  }
}

std::string suggested_unit(const Field& f, const Value& v) {
  switch (f.type) {
    case Type::kTime:
      return v.text + (v.number < 10 ? " s" : " ms");
    case Type::kRate:
      return v.text + " rps";
    case Type::kShare:
      return number_text(v.number <= 1 ? v.number * 100 : v.number) + " %";
    default:
      return v.text + " B";
  }
}

bool is_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  int port = 0;
  const auto [rest, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  return error == std::errc() && rest == text.data() + text.size() && port > 0 && port < 65536;
}

std::string join_names(const std::vector<std::string>& names) {
  std::string all;
  for (const std::string& name : names) all.append(all.empty() ? "" : ", ").append(name);
  return all;
}

}  // namespace shorelead::language
