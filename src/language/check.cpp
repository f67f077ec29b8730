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
    case Type::kShares:
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
    in_order(document_.problems);
    if (document_.problems.empty()) doubts();
    in_order(document_.warnings);
    return std::move(document_);
  }

 private:
  void in_order(std::vector<Problem>& problems) const {
    std::stable_sort(problems.begin(), problems.end(), [this](const Problem& x, const Problem& y) {
      const auto order = [this](const Place& p) {
        return std::tuple(std::find(document_.files.begin(), document_.files.end(), p.file), p.line,
                          p.column);
      };
      return order(x.place) < order(y.place);
    });
    // What is shared is held against the schema wherever it is used.
    const auto same = [](const Problem& x, const Problem& y) { return x.text() == y.text(); };
    problems.erase(std::unique(problems.begin(), problems.end(), same), problems.end());
  }

  Problem& warning(const Place& place, std::string cause, std::string hint = "") {
    document_.warnings.push_back(problem(place, std::move(cause), std::move(hint)));
    document_.problems.pop_back();
    document_.warnings.back().warning = true;
    return document_.warnings.back();
  }

  Problem& problem(const Place& place, std::string cause, std::string hint = "") {
    Problem p{place, std::move(cause), std::move(hint), "", {}, false};
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
      } else if (s.name == "shared") {
        shared(s);
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
        variables_.try_emplace(s.values[0].text, Variable{s.values[2], s.values[0].place, false});
    if (fresh) return;
    problem(s.values[0].place, "\"" + s.values[0].text + "\" is set a second time",
            "variables never change; give it another name")
        .also.emplace_back(it->second.place, "here is the first");
  }

  // Statements under a name, to be put into blocks by "use NAME".
  void shared(Statement& s) {
    if (!s.has_block || s.values.size() != 1 || s.values[0].kind != Value::Kind::kWord) {
      problem(s.place, "shared statements stand as in: shared NAME { ... }");
      return;
    }
    const std::string name = s.values[0].text;
    const auto [it, fresh] = shared_.try_emplace(name, Shared{std::move(s.block), s.place, false});
    if (fresh) return;
    problem(s.place, "\"" + name + "\" is shared a second time", "give it another name")
        .also.emplace_back(it->second.place, "here is the first");
  }

  // A block's statements with what it uses put in; what the block itself says goes before what it uses.
  std::vector<const Statement*> statements_of(const Statement& s) {
    std::vector<const Statement*> all;
    std::set<std::string> told;
    for (const Statement& child : s.block) {
      if (child.name == "use") continue;
      all.push_back(&child);
      told.insert(child.name);
    }
    std::map<std::string, const Statement*> used;
    for (const Statement& child : s.block) {
      if (child.name != "use") continue;
      if (child.values.size() != 1 || child.has_block || child.values[0].kind != Value::Kind::kWord) {
        problem(child.place, "shared statements are put in as in: use NAME");
        continue;
      }
      const auto it = shared_.find(child.values[0].text);
      if (it == shared_.end()) {
        std::vector<std::string> names;
        for (const auto& [name, one] : shared_) names.push_back(name);
        problem(child.values[0].place, "nothing is shared as \"" + child.values[0].text + "\"",
                did_you_mean(child.values[0].text, names));
        continue;
      }
      it->second.used = true;
      for (const Statement& one : it->second.statements) {
        if (told.count(one.name) > 0) continue;
        if (one.name == "use") {
          problem(one.place, "shared statements cannot use others", "use both in the block itself");
          continue;
        }
        const auto [first, fresh] = used.try_emplace(one.name, &child);
        if (!fresh && first->second != &child) {
          problem(child.place, "\"" + one.name + "\" comes from this and from another that is used here",
                  "say it in the block itself")
              .also.emplace_back(first->second->place, "here is the other");
          continue;
        }
        all.push_back(&one);
      }
    }
    return all;
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
    if (block == nullptr) names.insert(names.end(), {"include", "let", "shared"});
    if (block != nullptr) names.emplace_back("use");
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
    const std::vector<const Statement*> children = statements_of(s);
    for (const Statement* const child : children) {
      if (!child->has_block && find_block(child->name, found->name) == nullptr) {
        field(*child, section);
      } else if (auto inner = block(*child, found, &section)) {
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
    if (!fresh && f->type != Type::kPair && f->type != Type::kShares) {
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
    if (f->type == Type::kShares) return shares(*f, s, section);
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

  void shares(const Field& f, const Statement& s, Section& section) {
    const std::size_t mistakes = document_.problems.size();
    one_share(f, s, section);
    if (document_.problems.size() > mistakes) half_told_.insert(section.name);
  }

  void one_share(const Field& f, const Statement& s, Section& section) {
    if (s.values.size() != 2) {
      problem(s.place, "\"" + s.name + "\" takes a pool and its share", "as in: " + s.name + " main 95 %");
      return;
    }
    const Value* const name = resolve(s.values[0]);
    const Value* const share = resolve(s.values[1]);
    if (name == nullptr || share == nullptr) return;
    if (name->kind == Value::Kind::kNumber) {
      problem(s.values[0].place, "\"" + s.name + "\" takes a pool first and then its share",
              "as in: " + s.name + " main 95 %");
      return;
    }
    const std::size_t before = document_.problems.size();
    Field as_share = f;
    as_share.type = Type::kShare;
    number(as_share, *share, s.values[1].place, section);
    if (document_.problems.size() > before) return;
    std::ostringstream exact;
    exact.precision(17);
    exact << section.numbers.at(std::string(f.name));
    auto& words = section.words[std::string(f.name)];
    words.insert(words.end(), {name->text, exact.str()});
  }

  const Value* resolve(const Value& given) {
    if (given.kind != Value::Kind::kVariable) return &given;
    const auto it = variables_.find(given.text);
    if (it != variables_.end()) it->second.used = true;
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
      case Type::kShares:
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
      index_.try_emplace({s.block->name, s.name}, &s);
      auto& names = names_[s.block->name];
      if (std::find(names.begin(), names.end(), s.name) == names.end() || s.block->name == "route")
        names.push_back(s.name);
    }
    for (const Section& s : document_.sections) {
      if (s.block->name == "class") one_class(s);
      if (s.block->name == "route") one_route(s);
      if (s.block->name == "pool") one_pool(s);
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
    fallbacks();
    const std::vector<std::string>& pools = named("pool");
    if (pools.size() > 1 && named("route").empty()) {
      problem(second("pool")->place, "there are " + std::to_string(pools.size()) + " pools and no route",
              "a route says which requests go where, as in: route a { path \"/a/*\"; class C; pool " +
                  pools[0] + " }");
    }
  }

  // The names of all blocks of a kind; of routes there may be many, of the others there are few.
  const std::vector<std::string>& named(std::string_view block) const {
    static const std::vector<std::string> kNone;
    const auto it = names_.find(block);
    return it == names_.end() ? kNone : it->second;
  }

  const Section* second(std::string_view block) const {
    const Section* last = nullptr;
    for (const Section& s : document_.sections) {
      if (s.block->name == block && std::exchange(last, &s) != nullptr) return &s;
    }
    return last;
  }

  const Section* section(std::string_view block, std::string_view name) const {
    const auto it = index_.find({block, std::string(name)});
    return it == index_.end() ? nullptr : it->second;
  }

  // Whether there is a block of that name; says so where not.
  bool known(std::string_view block, const std::string& name, const Place& place) {
    if (section(block, name) != nullptr) return true;
    const std::string what(block);
    problem(place, "there is no " + what + " \"" + name + "\"", did_you_mean(name, named(block)));
    return false;
  }

  void one_route(const Section& s) {
    if (const std::string wanted = s.word("class"); !wanted.empty())
      known("class", wanted, s.places.at("class"));
    const auto split = s.words.find("split");
    const bool splits = s.places.count("split") > 0;
    if (s.places.count("pool") > 0) {
      known("pool", s.word("pool"), s.places.at("pool"));
      if (splits) {
        problem(s.places.at("split"), called(s) + " says both its pool and a split", "take one of them out")
            .also.emplace_back(s.places.at("pool"), "here is its pool");
        return;
      }
    } else if (!splits && named("pool").size() > 1) {
      problem(s.place, called(s) + " does not say its pool", "there are several: " + list(named("pool")));
    }
    if (s.places.count("by") > 0 && !splits) {
      problem(s.places.at("by"), "\"by\" says nothing without a split", "as in: split main 95 %");
    }
    if (!splits) return;
    if (s.places.count("by") == 0) {
      problem(s.places.at("split"), called(s) + " splits and does not say by what",
              "the header whose value keeps its pool, as in: by X-Client-ID");
    }
    if (split == s.words.end() || half_told_.count(s.name) > 0) return;
    double sum = 0;
    std::set<std::string> told;
    bool all = true;
    for (std::size_t n = 0; n + 1 < split->second.size(); n += 2) {
      const std::string& pool = split->second[n];
      all = known("pool", pool, s.places.at("split")) && all;
      if (!told.insert(pool).second) {
        problem(s.places.at("split"), called(s) + " splits to pool " + pool + " twice", "add the shares up");
        all = false;
      }
      sum += std::strtod(split->second[n + 1].c_str(), nullptr);
    }
    if (all && std::abs(sum - 1) > 1e-9) {
      problem(s.places.at("split"), "the shares of " + called(s) + " are " + plain(sum * 100) + " % together",
              "they must be 100 %");
    }
  }

  static std::string list(const std::vector<std::string>& names) {
    std::string all;
    for (const std::string& name : names) all.append(all.empty() ? "" : ", ").append(name);
    return all;
  }

  // Where its boxes come from, and what is told of them.
  void one_pool(const Section& s) {
    std::map<std::string, const Section*> dials;
    const Section* first = nullptr;
    for (const Section& box : s.inner) {
      if (box.block->name != "box") continue;
      if (first == nullptr) first = &box;
      const std::string dial = box.word("dial");
      const auto [it, fresh] = dials.try_emplace(dial, &box);
      if (!fresh && !dial.empty()) {
        problem(box.places.at("dial"), "two boxes of " + called(s) + " listen at " + dial)
            .also.emplace_back(it->second->places.at("dial"), "here is the other");
      }
      const auto zones = s.words.find("zones");
      if (box.places.count("zone") == 0) continue;
      const std::string zone = box.word("zone");
      if (zones == s.words.end() ||
          std::find(zones->second.begin(), zones->second.end(), zone) == zones->second.end()) {
        problem(box.places.at("zone"), "zone is " + zone + ", which " + called(s) + " does not name",
                "it names its zones as in: zones a b");
      }
    }
    const bool own = s.places.count("discovery") > 0;
    const Section* const registry = s.find("registry");
    if (registry != nullptr) {
      one_registry(*registry);
      if (first != nullptr || own) {
        problem(registry->place, called(s) + " has a registry and another source of boxes",
                "take one of them out")
            .also.emplace_back(own ? s.places.at("discovery") : first->place, "here is the other");
      }
      return;
    }
    if (first != nullptr && own) {
      problem(s.places.at("discovery"), called(s) + " has both boxes and a discovery", "take one of them out")
          .also.emplace_back(first->place, "here is a box");
    }
    if (first != nullptr && s.places.count("list") > 0) {
      problem(s.places.at("list"), "\"list\" says nothing of a pool whose boxes stand in the file")
          .also.emplace_back(first->place, "here is a box");
    }
    const Section* const node = document_.find("node");
    if (first == nullptr && !own && node != nullptr && node->places.count("discovery") == 0) {
      problem(
          s.place, called(s) + " does not say where its boxes come from",
          "by discovery 127.0.0.1:8500, here or in the node, or by boxes: box NAME { dial 127.0.0.1:9001 }");
    }
  }

  void one_registry(const Section& s) {
    std::set<std::string> told;
    const auto endpoints = s.words.find("endpoints");
    for (const std::string& one :
         endpoints == s.words.end() ? std::vector<std::string>() : endpoints->second) {
      if (!address(one)) {
        problem(s.places.at("endpoints"), one + " is no address with a port",
                "as in: endpoints 127.0.0.1:2379");
      } else if (!told.insert(one).second) {
        problem(s.places.at("endpoints"), one + " is told twice", "take one of them out");
      }
    }
    for (const char* const field : {"certificate", "key", "name"}) {
      if (s.places.count(field) > 0 && s.places.count("ca") == 0) {
        problem(s.places.at(field), std::string("\"") + field + "\" says nothing without a \"ca\"",
                "TLS needs to know whom to believe, as in: ca /etc/shorelead/ca.pem");
        return;
      }
    }
    const bool own = s.places.count("certificate") > 0;
    if (own != (s.places.count("key") > 0)) {
      problem(s.places.at(own ? "certificate" : "key"), "a certificate and its key go together");
    }
    if (s.places.count("prefix") > 0 && s.word("prefix").empty()) {
      problem(s.places.at("prefix"), "an empty prefix would take every key for a box",
              "as in: prefix \"/boxes/\"");
    }
  }

  void fallbacks() {
    std::set<std::string> told;
    for (const Section& s : document_.sections) {
      if (s.block->name != "pool" || s.places.count("fallback") == 0) continue;
      if (!known("pool", s.word("fallback"), s.places.at("fallback"))) continue;
      std::vector<std::string> chain{s.name};
      for (const Section* at = section("pool", s.word("fallback")); at != nullptr;
           at = section("pool", at->word("fallback"))) {
        const bool back = at->name == s.name;
        const bool seen = std::find(chain.begin(), chain.end(), at->name) != chain.end();
        chain.push_back(at->name);
        if (back && told.count(s.name) == 0) {
          told.insert(chain.begin(), chain.end());
          std::string whole;
          for (const std::string& name : chain) whole.append(whole.empty() ? "" : " -> ").append(name);
          problem(s.places.at("fallback"), "these fallbacks go in a circle: " + whole,
                  "the last of them has no fallback");
        }
        if (seen || back) break;
      }
    }
  }

  // ---- what works, but hardly as it was meant ----

  void doubts() {
    for (const auto& [name, variable] : variables_) {
      if (!variable.used) warning(variable.place, "nothing uses \"$" + name + "\"", "take it out");
    }
    for (const auto& [name, one] : shared_) {
      if (!one.used) warning(one.place, "nothing uses what is shared as \"" + name + "\"", "take it out");
    }
    double patience = 0;
    for (const Section& s : document_.sections) {
      if (s.block->name == "class") patience = std::max(patience, s.number("give_up").value_or(0));
    }
    const bool routed = !named("route").empty();
    std::set<std::string> used;
    for (const Section& s : document_.sections) {
      if (s.block->name != "route") continue;
      used.insert("class " + s.word("class"));
      used.insert("pool " + (s.places.count("pool") > 0 ? s.word("pool") : named("pool").front()));
      const auto split = s.words.find("split");
      if (split == s.words.end()) continue;
      for (std::size_t n = 0; n + 1 < split->second.size(); n += 2) {
        used.insert("pool " + split->second[n]);
        if (std::strtod(split->second[n + 1].c_str(), nullptr) <= 0) {
          warning(s.places.at("split"),
                  called(s) + " gives pool " + split->second[n] + " a share of nothing");
        }
      }
    }
    for (const Section& s : document_.sections) {
      if (s.block->name == "pool") used.insert("pool " + s.word("fallback"));
    }
    for (const Section& s : document_.sections) {
      const std::string_view kind = s.block->name;
      if (routed && (kind == "class" || kind == "pool") && used.count(called(s)) == 0) {
        warning(s.place, "no route leads to " + called(s), "take it out, or say which requests are meant");
      }
      if (kind == "class" && s.places.count("late_value") > 0 && s.number("aim") == s.number("give_up")) {
        warning(s.places.at("late_value"), "no answer of " + called(s) + " is late: its aim is its give_up");
      }
      if (kind == "pool") doubts_of_pool(s, patience);
    }
  }

  // Limits that never bind.
  void doubts_of_pool(const Section& s, double patience) {
    if (const auto wait = s.number("connect_within"); wait && *wait >= patience) {
      warning(s.places.at("connect_within"),
              "connect_within never binds: no class waits longer than " + shown(Type::kTime, patience));
    }
    const bool probing = s.number("probing").value_or(1) > 0;
    const Section* const probes = s.find("probes");
    if (probes != nullptr && !probing) {
      warning(probes->place, "ceilings of probes never bind: there are none")
          .also.emplace_back(s.places.at("probing"), "here they are turned off");
    }
    const Section* const part = s.find("subset");
    const auto boxes = std::count_if(s.inner.begin(), s.inner.end(),
                                     [](const Section& inner) { return inner.block->name == "box"; });
    const double above =
        part == nullptr ? 0 : part->number("above").value_or(2 * part->number("size").value_or(50));
    if (part != nullptr && boxes > 0 && static_cast<double>(boxes) <= above) {
      warning(part->place, "this subset is never drawn: " + called(s) + " has " + std::to_string(boxes) +
                               (boxes == 1 ? " box" : " boxes"));
    }
    const Section* const node = document_.find("node");
    const auto nodes = node == nullptr ? std::nullopt : node->number("nodes");
    if (probes == nullptr || !nodes || boxes == 0) return;
    const auto all = probes->number("per_second");
    const auto each = probes->number("per_box");
    if (all && each && *each * static_cast<double>(boxes) / *nodes <= *all) {
      warning(probes->places.at("per_second"), "per_second never binds: per_box alone allows " +
                                                   plain(*each * static_cast<double>(boxes) / *nodes) +
                                                   " rps for each node")
          .also.emplace_back(probes->places.at("per_box"), "here is per_box");
    }
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
    bool used = false;
  };
  struct Shared {
    std::vector<Statement> statements;
    Place place;
    bool used = false;
  };

  const Reader& reader_;
  Document document_;
  std::vector<Statement> statements_;
  std::vector<std::string> chain_;
  std::map<std::string, Place> included_;
  std::map<std::string, Variable> variables_;
  std::map<std::string, Shared> shared_;
  std::map<std::string, Place> seen_;
  std::set<std::string> half_told_;  // routes with a mistake in a split, whose sum says nothing
  std::map<std::pair<std::string_view, std::string>, const Section*> index_;
  std::map<std::string_view, std::vector<std::string>> names_;
  std::map<std::string, std::vector<std::string>> lines_;
};

}  // namespace

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
