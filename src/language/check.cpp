#include "language/check.h"

#include <glob.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <tuple>
#include <utility>

namespace shorelead::language {
namespace {

constexpr std::size_t kMostIncludes = 16;   // files within files
constexpr std::size_t kMostFile = 4 << 20;  // bytes
constexpr std::size_t kFarGuess = 2;        // letters that a guess may differ by

struct Unit {
  std::string_view name;
  Type type;
  double worth;  // in the schema's unit
};

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

const Unit* find_unit(std::string_view name) {
  const auto it =
      std::find_if(kUnits.begin(), kUnits.end(), [name](const Unit& u) { return u.name == name; });
  return it == kUnits.end() ? nullptr : &*it;
}

std::string_view a_kind(Type type) {
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
      return "a word";
    case Type::kAddress:
      return "an address with a port";
    case Type::kFlag:
      return "yes or no";
  }
  return "something else";
}

std::string plain(double value) {
  std::ostringstream out;
  out.precision(12);
  out << value;
  return out.str();
}

// In the unit that people would write.
std::string shown(Type type, double value) {
  switch (type) {
    case Type::kTime:
      for (const char* const unit : {"h", "min", "s"}) {
        const double worth = find_unit(unit)->worth;
        if (value >= worth && std::fmod(value, worth) == 0) return plain(value / worth) + " " + unit;
      }
      return plain(value) + " ms";
    case Type::kRate:
      return plain(value) + " rps";
    case Type::kShare:
      return plain(value * 100) + " %";
    case Type::kSize:
      return std::fmod(value, 1048576) == 0 ? plain(value / 1048576) + " MiB" : plain(value) + " B";
    default:
      return plain(value);
  }
}

std::string written(const Value& v) {
  if (v.kind == Value::Kind::kString) return "\"" + v.text + "\"";
  if (v.kind == Value::Kind::kVariable) return "$" + v.text;
  return v.unit.empty() ? v.text : v.text + " " + v.unit;
}

std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t here = std::min({row[j] + 1, row[j - 1] + 1, corner + (a[i - 1] != b[j - 1])});
      corner = std::exchange(row[j], here);
    }
  }
  return row[b.size()];
}

std::string did_you_mean(std::string_view said, const std::vector<std::string>& known) {
  const std::string* best = nullptr;
  for (const std::string& one : known) {
    if (best == nullptr || distance(said, one) < distance(said, *best)) best = &one;
  }
  if (best != nullptr && distance(said, *best) <= kFarGuess && distance(said, *best) < said.size()) {
    return "did you mean \"" + *best + "\"?";
  }
  std::string all;
  for (const std::string& one : known) all += (all.empty() ? "" : ", ") + one;
  return all.empty() ? "" : "it knows: " + all;
}

std::vector<std::string> parts(std::string_view text, char by) {
  std::vector<std::string> all;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(by), text.size());
    all.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return all;
}

class Checker {
 public:
  explicit Checker(const Reader& reader) : reader_(reader) {}

  Document check(const std::string& path) {
    Place whole{path, 1, 1, 1};
    const auto text = reader_.read(path);
    if (!text) {
      problem(whole, "this file cannot be read");
    } else {
      file(path, *text);
    }
    for (const Statement& s : statements_) {
      if (auto section = block(s, nullptr, nullptr)) document_.sections.push_back(std::move(*section));
    }
    together();
    if (text && document_.problems.empty()) {
      std::string missing;
      for (const char* const needed : {"node", "class", "pool"}) {
        if (document_.find(needed) == nullptr) missing.append(missing.empty() ? "" : ", ").append(needed);
      }
      if (!missing.empty()) {
        problem(whole, "these blocks are missing: " + missing,
                "a configuration has one or more of each, as in: class NAME { ... }");
      }
    }
    std::stable_sort(document_.problems.begin(), document_.problems.end(),
                     [this](const Problem& x, const Problem& y) {
                       const auto order = [this](const Place& p) {
                         return std::tuple(std::find(document_.files.begin(), document_.files.end(), p.file),
                                           p.line, p.column);
                       };
                       return order(x.place) < order(y.place);
                     });
    return std::move(document_);
  }

 private:
  Problem& problem(const Place& place, std::string cause, std::string hint = "") {
    Problem p{place, std::move(cause), std::move(hint), "", {}};
    const auto lines = lines_.find(place.file);
    if (lines != lines_.end() && place.line >= 1 && place.line <= static_cast<int>(lines->second.size())) {
      p.line = lines->second[static_cast<std::size_t>(place.line) - 1];
    }
    document_.problems.push_back(std::move(p));
    return document_.problems.back();
  }

  // ---- files ----

  void file(const std::string& path, const std::string& text) {
    document_.files.push_back(path);
    if (text.size() > kMostFile) {
      problem({path, 1, 1, 1}, "this file has more than 4 MiB");
      return;
    }
    Tree tree = parse(text, path);
    lines_[path] = std::move(tree.lines);
    document_.problems.insert(document_.problems.end(), tree.problems.begin(), tree.problems.end());
    chain_.push_back(path);
    for (Statement& s : tree.statements) {
      if (s.name == "include") {
        include(s, path);
      } else if (s.name == "let") {
        let(s);
      } else {
        statements_.push_back(std::move(s));
      }
    }
    chain_.pop_back();
  }

  void include(const Statement& s, const std::string& from) {
    if (s.values.size() != 1 || s.has_block || s.values[0].kind == Value::Kind::kNumber ||
        s.values[0].kind == Value::Kind::kVariable) {
      problem(s.place, "an include names one file or pattern", "as in: include \"classes/*.shore\"");
      return;
    }
    const Value& value = s.values[0];
    const std::filesystem::path pattern(value.text);
    const std::string whole =
        (pattern.is_absolute() ? pattern : std::filesystem::path(from).parent_path() / pattern)
            .lexically_normal()
            .string();
    const std::vector<std::string> paths = reader_.glob(whole);
    if (paths.empty()) {
      problem(value.place, "no file is called or matches \"" + value.text + "\"", "looked for " + whole);
    }
    for (const std::string& path : paths) one_include(value, path);
  }

  void one_include(const Value& value, const std::string& path) {
    const auto again = std::find(chain_.begin(), chain_.end(), path);
    if (again != chain_.end()) {
      std::string whole;
      for (auto it = again; it != chain_.end(); ++it) whole += *it + " -> ";
      problem(value.place, "this include goes in a circle: " + whole + path,
              "take one of these includes out");
      return;
    }
    const auto [first, fresh] = included_.try_emplace(path, value.place);
    if (!fresh) {
      problem(value.place, "\"" + path + "\" is included a second time",
              "include it once, where both need it")
          .also.emplace_back(first->second, "here is the first");
      return;
    }
    if (chain_.size() >= kMostIncludes) {
      problem(value.place, "includes go more than 16 files deep");
      return;
    }
    const auto text = reader_.read(path);
    if (!text) {
      problem(value.place, "\"" + path + "\" cannot be read");
      return;
    }
    file(path, *text);
  }

  void let(const Statement& s) {
    const bool shape = s.values.size() == 3 && !s.has_block && s.values[0].kind == Value::Kind::kWord &&
                       s.values[1].kind == Value::Kind::kWord && s.values[1].text == "=";
    if (!shape) {
      problem(s.place, "a variable is set as in: let patience = 410 ms");
      return;
    }
    const auto [it, fresh] =
        variables_.try_emplace(s.values[0].text, Variable{s.values[2], s.values[0].place});
    if (fresh) return;
    problem(s.values[0].place, "\"" + s.values[0].text + "\" is set a second time",
            "variables never change; give it another name")
        .also.emplace_back(it->second.place, "here is the first");
  }

  // ---- blocks and fields ----

  static std::vector<std::string> names_within(const Block* block) {
    std::vector<std::string> names;
    if (block != nullptr) {
      for (const Field& f : block->fields) names.emplace_back(f.name);
    }
    for (const Block& b : blocks()) {
      if (b.within == (block == nullptr ? "" : block->name)) names.emplace_back(b.name);
    }
    if (block == nullptr) names.insert(names.end(), {"include", "let"});
    return names;
  }

  std::optional<Section> block(const Statement& s, const Block* within, Section* outer) {
    const Block* const found = find_block(s.name, within == nullptr ? "" : within->name);
    if (found == nullptr && within != nullptr && find_field(*within, s.name) != nullptr) {
      problem(s.place, "\"" + s.name + "\" is a value, not a block",
              std::string(a_kind(find_field(*within, s.name)->type)) + " is due");
      return std::nullopt;
    }
    if (found == nullptr) {
      const std::string where = within == nullptr ? "at the top" : "in " + std::string(within->name);
      problem(s.place, "nothing is called \"" + s.name + "\" " + where,
              did_you_mean(s.name, names_within(within)));
      return std::nullopt;
    }
    if (!s.has_block) {
      problem(s.place, "\"" + s.name + "\" is a block",
              "as in: " + s.name + (found->named ? " NAME" : "") + " { ... }");
      return std::nullopt;
    }
    Section section;
    section.block = found;
    section.place = s.place;
    if (found->named ? s.values.size() != 1 || s.values[0].kind == Value::Kind::kVariable
                     : !s.values.empty()) {
      problem(s.values.size() > 1 ? s.values[1].place : s.place,
              found->named ? "\"" + s.name + "\" has one name" : "\"" + s.name + "\" has no name of its own",
              "as in: " + s.name + (found->named ? " NAME" : "") + " { ... }");
    } else if (found->named) {
      section.name = s.values[0].text;
    }
    seen(s, section, outer);
    for (const Statement& child : s.block) {
      if (!child.has_block && find_block(child.name, found->name) == nullptr) {
        field(child, section);
      } else if (auto inner = block(child, found, &section)) {
        section.inner.push_back(std::move(*inner));
      }
    }
    // One that is not known is most often one that is wanted, misspelt.
    const bool misspelt = std::any_of(s.block.begin(), s.block.end(), [found](const Statement& child) {
      return find_block(child.name, found->name) == nullptr &&
             (child.has_block || find_field(*found, child.name) == nullptr);
    });
    for (const Field& f : found->fields) {
      if (misspelt || !f.required || section.places.count(f.name) > 0) continue;
      problem(s.place, called(section) + " does not say its " + std::string(f.name), std::string(f.means));
    }
    return section;
  }

  static std::string called(const Section& s) {
    return std::string(s.block->name) + (s.name.empty() ? "" : " " + s.name);
  }

  // Told before: a block of which there is one, or one of that name.
  void seen(const Statement& s, const Section& section, const Section* outer) {
    std::string key = outer == nullptr ? "" : called(*outer) + "/";
    key += section.block->once ? std::string(section.block->name) : called(section);
    const auto [first, fresh] = seen_.try_emplace(key, s.place);
    if (fresh) return;
    const std::string cause = section.block->once
                                  ? "there is a second \"" + s.name + "\" block"
                                  : "there is a second " + s.name + " called \"" + section.name + "\"";
    problem(s.place, cause, section.block->once ? "there may be one" : "give it another name")
        .also.emplace_back(first->second, "here is the first");
  }

  void field(const Statement& s, Section& section) {
    const Field* const f = find_field(*section.block, s.name);
    if (f == nullptr) {
      problem(s.place, "nothing is called \"" + s.name + "\" in " + std::string(section.block->name),
              did_you_mean(s.name, names_within(section.block)));
      return;
    }
    const auto [first, fresh] = section.places.try_emplace(s.name, s.place);
    if (!fresh && f->type != Type::kPair) {
      problem(s.place, "\"" + s.name + "\" is told a second time", "take one of them out")
          .also.emplace_back(first->second, "here is the first");
      return;
    }
    if (s.values.empty()) {
      problem(s.place, "\"" + s.name + "\" says nothing",
              std::string(a_kind(f->type)) + " is due: " + std::string(f->means));
      return;
    }
    if (f->type == Type::kPair && s.values.size() != 2) {
      problem(s.place, "\"" + s.name + "\" takes a name and a value", "as in: " + s.name + " X-Version 2");
      return;
    }
    if (s.values.size() > 1 && f->type != Type::kWords && f->type != Type::kPair) {
      problem(
          s.values[1].place, "\"" + s.name + "\" takes one value, and this is a second",
          s.values[0].kind == Value::Kind::kNumber && s.values[1].kind == Value::Kind::kWord
              ? "\"" + s.values[1].text + "\" is no unit; units are: us ms s min h, B KiB MiB GiB, rps rpm, %"
              : "");
      return;
    }
    for (const Value& given : s.values) {
      const Value* const value = resolve(given);
      if (value != nullptr) take(*f, *value, given.place, section);
    }
  }

  const Value* resolve(const Value& given) {
    if (given.kind != Value::Kind::kVariable) return &given;
    const auto it = variables_.find(given.text);
    if (it != variables_.end() && it->second.value.kind != Value::Kind::kVariable) return &it->second.value;
    std::vector<std::string> names;
    for (const auto& [name, variable] : variables_) names.push_back(name);
    problem(given.place,
            it == variables_.end() ? "nothing sets \"$" + given.text + "\""
                                   : "\"$" + given.text + "\" is another variable's value",
            it == variables_.end() ? did_you_mean(given.text, names) : "set it to what it is");
    return nullptr;
  }

  void take(const Field& f, const Value& v, const Place& place, Section& section) {
    switch (f.type) {
      case Type::kTime:
      case Type::kRate:
      case Type::kShare:
      case Type::kSize:
      case Type::kCount:
      case Type::kNumber:
        return number(f, v, place, section);
      case Type::kFlag:
        if (v.text != "yes" && v.text != "no") return wrong(f, v, place, "write yes or no");
        section.numbers[std::string(f.name)] = v.text == "yes" ? 1 : 0;
        return;
      case Type::kAddress:
        if (!address(v.text)) return wrong(f, v, place, "as in: 127.0.0.1:8080");
        break;
      case Type::kPair:
        break;
      case Type::kWord:
      case Type::kWords: {
        const std::vector<std::string> words = parts(f.words, '|');
        if (!words.empty() && std::find(words.begin(), words.end(), v.text) == words.end()) {
          problem(place, std::string(f.name) + " cannot be " + written(v), did_you_mean(v.text, words));
          return;
        }
        break;
      }
    }
    section.words[std::string(f.name)].push_back(v.text + (v.kind == Value::Kind::kNumber ? v.unit : ""));
  }

  static bool address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) return false;
    int port = 0;
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    return error == std::errc() && rest == text.data() + text.size() && port > 0 && port < 65536;
  }

  void wrong(const Field& f, const Value& v, const Place& place, std::string hint) {
    problem(place,
            std::string(f.name) + " is " + written(v) + ", where " + std::string(a_kind(f.type)) + " is due",
            std::move(hint));
  }

  void number(const Field& f, const Value& v, const Place& place, Section& section) {
    if (v.kind != Value::Kind::kNumber) return wrong(f, v, place, example(f));
    const Unit* const unit = find_unit(v.unit);
    const bool bare = f.type == Type::kCount || f.type == Type::kNumber;
    if (unit != nullptr && unit->type != f.type) {
      return wrong(f, v, place,
                   bare ? "without a unit: " + v.text
                        : "\"" + v.unit + "\" is a unit of " + std::string(a_kind(unit->type)).substr(2) +
                              "; " + example(f));
    }
    if (unit == nullptr && !bare) return wrong(f, v, place, "did you mean " + meant(f, v) + "?");
    const double value = unit == nullptr ? v.number : v.number * unit->worth;
    if (f.type == Type::kCount && value != std::floor(value)) return wrong(f, v, place, "");
    if (value < f.least || value > f.most) {
      problem(place,
              std::string(f.name) + " is " + written(v) + "; it may be " + shown(f.type, f.least) + " to " +
                  shown(f.type, f.most),
              std::string(f.means));
      return;
    }
    section.numbers[std::string(f.name)] = value;
  }

  static std::string example(const Field& f) {
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

  // What a bare number was probably meant to be.
  static std::string meant(const Field& f, const Value& v) {
    switch (f.type) {
      case Type::kTime:
        return v.text + (v.number < 10 ? " s" : " ms");
      case Type::kRate:
        return v.text + " rps";
      case Type::kShare:
        return plain(v.number <= 1 ? v.number * 100 : v.number) + " %";
      default:
        return v.text + " B";
    }
  }

  // ---- what has to fit together ----

  void together() {
    for (const Section& s : document_.sections) {
      if (s.block->name == "class") one_class(s);
      if (s.block->name == "route") one_route(s);
      if (s.block->name == "node") {
        const auto nodes = s.number("nodes");
        const auto index = s.number("index");
        if (index && *index >= nodes.value_or(1)) {
          Problem& p =
              problem(s.places.at("index"),
                      "index is " + plain(*index) + ", but there are " + plain(nodes.value_or(1)) +
                          (nodes.value_or(1) == 1 ? " node, counted from 0" : " nodes, counted from 0"));
          if (nodes) p.also.emplace_back(s.places.at("nodes"), "here their number is told");
        }
      }
    }
  }

  void one_route(const Section& s) {
    std::vector<std::string> classes;
    for (const Section& other : document_.sections) {
      if (other.block->name == "class") classes.push_back(other.name);
    }
    const std::string wanted = s.word("class");
    if (wanted.empty() || std::find(classes.begin(), classes.end(), wanted) != classes.end()) return;
    problem(s.places.at("class"), "there is no class \"" + wanted + "\"", did_you_mean(wanted, classes));
  }

  void one_class(const Section& s) {
    const auto aim = s.number("aim");
    const auto give_up = s.number("give_up");
    if (aim && give_up && *give_up < *aim) {
      problem(s.places.at("give_up"),
              "give_up is less than aim: clients of " + called(s) + " are gone before its answers are late")
          .also.emplace_back(s.places.at("aim"), "here the aim is told");
    }
    const std::string effect = s.word("effect");
    if (effect.empty()) return;
    if (effect == "keyed" && s.places.count("window") == 0) {
      problem(s.places.at("effect"), called(s) + " is keyed and does not say its window",
              "how long boxes drop a repeat, as in: window 800 ms");
    }
    for (const char* const only : {"window", "group"}) {
      if (effect == "keyed" || s.places.count(only) == 0) continue;
      problem(s.places.at(only), std::string(only) + " is told of a class that is not keyed",
              "only keyed requests carry a key by which boxes drop a repeat")
          .also.emplace_back(s.places.at("effect"), "here it is " + effect);
    }
  }

  struct Variable {
    Value value;
    Place place;
  };

  const Reader& reader_;
  Document document_;
  std::vector<Statement> statements_;
  std::vector<std::string> chain_;
  std::map<std::string, Place> included_;
  std::map<std::string, Variable> variables_;
  std::map<std::string, Place> seen_;
  std::map<std::string, std::vector<std::string>> lines_;
};

}  // namespace

Reader disk() {
  Reader reader;
  reader.read = [](const std::string& path) -> std::optional<std::string> {
    std::error_code error;
    if (std::filesystem::is_directory(path, error)) return std::nullopt;
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file) return std::nullopt;
    text << file.rdbuf();
    return std::move(text).str();
  };
  reader.glob = [](const std::string& pattern) {
    std::vector<std::string> paths;
    glob_t found{};
    if (::glob(pattern.c_str(), 0, nullptr, &found) == 0)
      paths.assign(found.gl_pathv, found.gl_pathv + found.gl_pathc);
    ::globfree(&found);
    for (std::string& path : paths) path = std::filesystem::path(path).lexically_normal().string();
    return paths;
  };
  return reader;
}

std::optional<double> Section::number(std::string_view field) const {
  const auto it = numbers.find(field);
  return it == numbers.end() ? std::nullopt : std::optional(it->second);
}

std::string Section::word(std::string_view field) const {
  const auto it = words.find(field);
  return it == words.end() || it->second.empty() ? "" : it->second.front();
}

const Section* Section::find(std::string_view name) const {
  const auto it =
      std::find_if(inner.begin(), inner.end(), [name](const Section& s) { return s.block->name == name; });
  return it == inner.end() ? nullptr : &*it;
}

const Section* Document::find(std::string_view name) const {
  const auto it = std::find_if(sections.begin(), sections.end(),
                               [name](const Section& s) { return s.block->name == name; });
  return it == sections.end() ? nullptr : &*it;
}

Document check(const std::string& path, const Reader& reader) {
  return Checker(reader).check(std::filesystem::path(path).lexically_normal().string());
}

}  // namespace shorelead::language
