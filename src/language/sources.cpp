#include "language/sources.h"

#include <algorithm>
#include <filesystem>
#include <set>
#include <utility>

#include "language/units.h"

namespace shorelead::language {

namespace {

constexpr std::size_t kMaxIncludeDepth = 16;    // nesting depth of includes
constexpr std::size_t kMaxFileBytes = 4 << 20;  // bytes

}  // namespace

bool Sources::read(const std::string& path) {
  const auto text = reader_.read(path);
  if (!text) {
    problem({path, 1, 1, 1}, "this file cannot be read");
    return false;
  }
  file(path, *text);
  return true;
}

void Sources::warn_of_unused() {
  for (const auto& [name, variable] : variables_) {
    if (!variable.used) problems_.warning(variable.place, "nothing uses \"$" + name + "\"", "take it out");
  }
  for (const auto& [name, one] : shared_) {
    if (!one.used)
      problems_.warning(one.place, "nothing uses what is shared as \"" + name + "\"", "take it out");
  }
}

void Sources::file(const std::string& path, const std::string& text) {
  files_.push_back(path);
  if (text.size() > kMaxFileBytes) {
    problem({path, 1, 1, 1}, "this file has more than 4 MiB");
    return;
  }
  Tree tree = parse(text, path);
  problems_.lines_of(path, std::move(tree.lines));
  problems_.take(tree.problems);
  include_chain_.push_back(path);
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
  include_chain_.pop_back();
}

void Sources::include(const Statement& s, const std::string& from) {
  if (s.values.size() != 1 || s.has_block || s.values[0].kind == Value::Kind::kNumber ||
      s.values[0].kind == Value::Kind::kVariable) {
    problem(s.place, "an include names one file or pattern", "as in: include \"classes/*.shore\"");
    return;
  }
  const Value& value = s.values[0];
  const std::filesystem::path pattern(value.text);
  const std::string resolved_pattern =
      (pattern.is_absolute() ? pattern : std::filesystem::path(from).parent_path() / pattern)
          .lexically_normal()
          .string();
  const std::vector<std::string> paths = reader_.glob(resolved_pattern);
  if (paths.empty()) {
    problem(value.place, "no file is called or matches \"" + value.text + "\"",
            "looked for " + resolved_pattern);
  }
  for (const std::string& path : paths) include_file(value, path);
}

void Sources::include_file(const Value& value, const std::string& path) {
  const auto cycle_start = std::find(include_chain_.begin(), include_chain_.end(), path);
  if (cycle_start != include_chain_.end()) {
    std::string cycle;
    for (auto it = cycle_start; it != include_chain_.end(); ++it) cycle += *it + " -> ";
    problem(value.place, "this include goes in a circle: " + cycle + path, "take one of these includes out");
    return;
  }
  const auto [first, inserted] = included_.try_emplace(path, value.place);
  if (!inserted) {
    problem(value.place, "\"" + path + "\" is included a second time", "include it once, where both need it")
        .related.emplace_back(first->second, "here is the first");
    return;
  }
  if (include_chain_.size() >= kMaxIncludeDepth) {
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

void Sources::let(const Statement& s) {
  const bool shape = s.values.size() == 3 && !s.has_block && s.values[0].kind == Value::Kind::kWord &&
                     s.values[1].kind == Value::Kind::kWord && s.values[1].text == "=";
  if (!shape) {
    problem(s.place, "a variable is set as in: let patience = 410 ms");
    return;
  }
  const auto [it, inserted] =
      variables_.try_emplace(s.values[0].text, Variable{s.values[2], s.values[0].place, false});
  if (inserted) return;
  problem(s.values[0].place, "\"" + s.values[0].text + "\" is set a second time",
          "variables never change; give it another name")
      .related.emplace_back(it->second.place, "here is the first");
}

// Stores named statements for "use NAME".
void Sources::shared(Statement& s) {
  if (!s.has_block || s.values.size() != 1 || s.values[0].kind != Value::Kind::kWord) {
    problem(s.place, "shared statements stand as in: shared NAME { ... }");
    return;
  }
  const std::string name = s.values[0].text;
  const auto [it, inserted] = shared_.try_emplace(name, Shared{std::move(s.block), s.place, false});
  if (inserted) return;
  problem(s.place, "\"" + name + "\" is shared a second time", "give it another name")
      .related.emplace_back(it->second.place, "here is the first");
}

std::vector<const Statement*> Sources::statements_of(const Statement& s) {
  std::vector<const Statement*> all;
  std::set<std::string> own_names;
  for (const Statement& child : s.block) {
    if (child.name == "use") continue;
    all.push_back(&child);
    own_names.insert(child.name);
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
      if (own_names.count(one.name) > 0) continue;
      if (one.name == "use") {
        problem(one.place, "shared statements cannot use others", "use both in the block itself");
        continue;
      }
      const auto [first, inserted] = used.try_emplace(one.name, &child);
      if (!inserted && first->second != &child) {
        problem(child.place, "\"" + one.name + "\" comes from this and from another that is used here",
                "say it in the block itself")
            .related.emplace_back(first->second->place, "here is the other");
        continue;
      }
      all.push_back(&one);
    }
  }
  return all;
}

const Value* Sources::resolve(const Value& given) {
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

}  // namespace shorelead::language
