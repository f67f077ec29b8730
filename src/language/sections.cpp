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
    if (b.parent == (block == nullptr ? "" : block->name)) names.emplace_back(b.name);
  }
  if (block == nullptr) names.insert(names.end(), {"include", "let", "shared"});
  if (block != nullptr) names.emplace_back("use");
  return names;
}

}  // namespace

std::string title_of(const Section& s) {
  return std::string(s.block->name) + (s.name.empty() ? "" : " " + s.name);
}

std::optional<Section> Sections::block(const Statement& s, const Block* parent, Section* outer) {
  const Block* const schema_block = find_block(s.name, parent == nullptr ? "" : parent->name);
  if (schema_block == nullptr && parent != nullptr && find_field(*parent, s.name) != nullptr) {
    problem(s.place, "\"" + s.name + "\" is a value, not a block",
            std::string(type_phrase(find_field(*parent, s.name)->type)) + " is due");
    return std::nullopt;
  }
  if (schema_block == nullptr) {
    const std::string where = parent == nullptr ? "at the top" : "in " + std::string(parent->name);
    problem(s.place, "nothing is called \"" + s.name + "\" " + where,
            did_you_mean(s.name, names_within(parent)));
    return std::nullopt;
  }
  if (!s.has_block) {
    problem(s.place, "\"" + s.name + "\" is a block",
            "as in: " + s.name + (schema_block->named ? " NAME" : "") + " { ... }");
    return std::nullopt;
  }
  Section section;
  section.block = schema_block;
  section.place = s.place;
  if (schema_block->named ? s.values.size() != 1 || s.values[0].kind == Value::Kind::kVariable
                          : !s.values.empty()) {
    problem(
        s.values.size() > 1 ? s.values[1].place : s.place,
        schema_block->named ? "\"" + s.name + "\" has one name" : "\"" + s.name + "\" has no name of its own",
        "as in: " + s.name + (schema_block->named ? " NAME" : "") + " { ... }");
  } else if (schema_block->named) {
    section.name = s.values[0].text;
  }
  check_unique(s, section, outer);
  const std::vector<const Statement*> children = sources_.statements_of(s);
  for (const Statement* const child : children) {
    if (!child->has_block && find_block(child->name, schema_block->name) == nullptr) {
      field(*child, section);
    } else if (auto inner = block(*child, schema_block, &section)) {
      section.children.push_back(std::move(*inner));
    }
  }
  // An unknown name is most often a misspelt required field: reporting that field as missing would be noise.
  const bool misspelt = std::any_of(s.block.begin(), s.block.end(), [schema_block](const Statement& child) {
    return find_block(child.name, schema_block->name) == nullptr &&
           (child.has_block || find_field(*schema_block, child.name) == nullptr);
  });
  for (const Field& f : schema_block->fields) {
    if (misspelt || !f.required || section.places.count(f.name) > 0) continue;
    problem(s.place, title_of(section) + " does not say its " + std::string(f.name), std::string(f.help));
  }
  return section;
}

// Reports a second block where only one is allowed, or a second one of that name.
void Sections::check_unique(const Statement& s, const Section& section, const Section* outer) {
  std::string key = outer == nullptr ? "" : title_of(*outer) + "/";
  key += section.block->single ? std::string(section.block->name) : title_of(section);
  const auto [first, inserted] = first_places_.try_emplace(key, s.place);
  if (inserted) return;
  const std::string cause = section.block->single
                                ? "there is a second \"" + s.name + "\" block"
                                : "there is a second " + s.name + " called \"" + section.name + "\"";
  problem(s.place, cause, section.block->single ? "there may be one" : "give it another name")
      .related.emplace_back(first->second, "here is the first");
}

void Sections::field(const Statement& s, Section& section) {
  const Field* const f = find_field(*section.block, s.name);
  if (f == nullptr) {
    problem(s.place, "nothing is called \"" + s.name + "\" in " + std::string(section.block->name),
            did_you_mean(s.name, names_within(section.block)));
    return;
  }
  const auto [first, inserted] = section.places.try_emplace(s.name, s.place);
  if (!inserted && f->type != Type::kPair && f->type != Type::kShares) {
    problem(s.place, "\"" + s.name + "\" is told a second time", "take one of them out")
        .related.emplace_back(first->second, "here is the first");
    return;
  }
  if (s.values.empty()) {
    problem(s.place, "\"" + s.name + "\" says nothing",
            std::string(type_phrase(f->type)) + " is due: " + std::string(f->help));
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
    if (value != nullptr) set_value(*f, *value, given.place, section);
  }
}

void Sections::shares(const Field& f, const Statement& s, Section& section) {
  const std::size_t mistakes = problems_.count();
  add_share(f, s, section);
  if (problems_.count() > mistakes) incomplete_splits_.insert(section.name);
}

void Sections::add_share(const Field& f, const Statement& s, Section& section) {
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

void Sections::set_value(const Field& f, const Value& v, const Place& place, Section& section) {
  switch (f.type) {
    case Type::kTime:
    case Type::kRate:
    case Type::kShare:
    case Type::kSize:
    case Type::kCount:
    case Type::kNumber:
      return number(f, v, place, section);
    case Type::kFlag:
      if (v.text != "yes" && v.text != "no") return wrong_type(f, v, place, "write yes or no");
      section.numbers[std::string(f.name)] = v.text == "yes" ? 1 : 0;
      return;
    case Type::kAddress:
      if (!is_address(v.text)) return wrong_type(f, v, place, "as in: 127.0.0.1:8080");
      break;
    case Type::kPair:
    case Type::kShares:
      break;
    case Type::kWord:
    case Type::kWords: {
      const std::vector<std::string> words = split_text(f.words, '|');
      if (!words.empty() && std::find(words.begin(), words.end(), v.text) == words.end()) {
        problem(place, std::string(f.name) + " cannot be " + source_text(v), did_you_mean(v.text, words));
        return;
      }
      break;
    }
  }
  section.words[std::string(f.name)].push_back(v.text + (v.kind == Value::Kind::kNumber ? v.unit : ""));
}

void Sections::wrong_type(const Field& f, const Value& v, const Place& place, std::string hint) {
  problem(place,
          std::string(f.name) + " is " + source_text(v) + ", where " + std::string(type_phrase(f.type)) +
              " is due",
          std::move(hint));
}

void Sections::number(const Field& f, const Value& v, const Place& place, Section& section) {
  if (v.kind != Value::Kind::kNumber) return wrong_type(f, v, place, example(f));
  const Unit* const unit = find_unit(v.unit);
  const bool bare = f.type == Type::kCount || f.type == Type::kNumber;
  if (unit != nullptr && unit->type != f.type) {
    return wrong_type(f, v, place,
                      bare ? "without a unit: " + v.text
                           : "\"" + v.unit + "\" is a unit of " +
                                 std::string(type_phrase(unit->type)).substr(2) + "; " + example(f));
  }
  if (unit == nullptr && !bare) return wrong_type(f, v, place, "did you mean " + suggested_unit(f, v) + "?");
  const double value = unit == nullptr ? v.number : v.number * unit->factor;
  if (f.type == Type::kCount && value != std::floor(value)) return wrong_type(f, v, place, "");
  if (value < f.min || value > f.max) {
    problem(place,
            std::string(f.name) + " is " + source_text(v) + "; it may be " + with_unit(f.type, f.min) +
                " to " + with_unit(f.type, f.max),
            std::string(f.help));
    return;
  }
  section.numbers[std::string(f.name)] = value;
}

}  // namespace shorelead::language
