#include "language/sections.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include "language/units.h"

namespace shorelead::language {

namespace {

std::vector<std::string> names_within(const Block* block) {
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

}  // namespace

std::string called(const Section& s) {
  return std::string(s.block->name) + (s.name.empty() ? "" : " " + s.name);
}

std::optional<Section> Sections::block(const Statement& s, const Block* within, Section* outer) {
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
  if (found->named ? s.values.size() != 1 || s.values[0].kind == Value::Kind::kVariable : !s.values.empty()) {
    problem(s.values.size() > 1 ? s.values[1].place : s.place,
            found->named ? "\"" + s.name + "\" has one name" : "\"" + s.name + "\" has no name of its own",
            "as in: " + s.name + (found->named ? " NAME" : "") + " { ... }");
  } else if (found->named) {
    section.name = s.values[0].text;
  }
  seen(s, section, outer);
  const std::vector<const Statement*> children = sources_.statements_of(s);
  for (const Statement* const child : children) {
    if (!child->has_block && find_block(child->name, found->name) == nullptr) {
      field(*child, section);
    } else if (auto inner = block(*child, found, &section)) {
      section.inner.push_back(std::move(*inner));
    }
  }
  // An unknown name is most often a misspelt required field: reporting that field as missing would be noise.
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

// Reports a second block where only one is allowed, or a second one of that name.
void Sections::seen(const Statement& s, const Section& section, const Section* outer) {
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

void Sections::field(const Statement& s, Section& section) {
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
    const Value* const value = sources_.resolve(given);
    if (value != nullptr) take(*f, *value, given.place, section);
  }
}

void Sections::shares(const Field& f, const Statement& s, Section& section) {
  const std::size_t mistakes = problems_.count();
  one_share(f, s, section);
  if (problems_.count() > mistakes) half_told_.insert(section.name);
}

void Sections::one_share(const Field& f, const Statement& s, Section& section) {
  if (s.values.size() != 2) {
    problem(s.place, "\"" + s.name + "\" takes a pool and its share", "as in: " + s.name + " main 95 %");
    return;
  }
  const Value* const name = sources_.resolve(s.values[0]);
  const Value* const share = sources_.resolve(s.values[1]);
  if (name == nullptr || share == nullptr) return;
  if (name->kind == Value::Kind::kNumber) {
    problem(s.values[0].place, "\"" + s.name + "\" takes a pool first and then its share",
            "as in: " + s.name + " main 95 %");
    return;
  }
  const std::size_t before = problems_.count();
  Field as_share = f;
  as_share.type = Type::kShare;
  number(as_share, *share, s.values[1].place, section);
  if (problems_.count() > before) return;
  std::ostringstream exact;
  exact.precision(17);
  exact << section.numbers.at(std::string(f.name));
  auto& words = section.words[std::string(f.name)];
  words.insert(words.end(), {name->text, exact.str()});
}

void Sections::take(const Field& f, const Value& v, const Place& place, Section& section) {
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
      if (!is_address(v.text)) return wrong(f, v, place, "as in: 127.0.0.1:8080");
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

void Sections::wrong(const Field& f, const Value& v, const Place& place, std::string hint) {
  problem(place,
          std::string(f.name) + " is " + written(v) + ", where " + std::string(a_kind(f.type)) + " is due",
          std::move(hint));
}

void Sections::number(const Field& f, const Value& v, const Place& place, Section& section) {
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

}  // namespace shorelead::language
