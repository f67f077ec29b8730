#include "language/consistency.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

#include "language/sections.h"
#include "language/units.h"

namespace shorelead::language {

namespace {

void check_class(const Section& s, Problems& problems) {
  const auto aim = s.number("aim");
  const auto give_up = s.number("give_up");
  if (aim && give_up && *give_up < *aim) {
    problems
        .problem(s.places.at("give_up"), "give_up is less than aim: clients of " + title_of(s) +
                                             " are gone before its answers are late")
        .related.emplace_back(s.places.at("aim"), "here the aim is told");
  }
  const std::string effect = s.word("effect");
  if (effect.empty()) return;
  if (effect == "keyed" && s.places.count("window") == 0) {
    problems.problem(s.places.at("effect"), title_of(s) + " is keyed and does not say its window",
                     "how long boxes drop a repeat, as in: window 800 ms");
  }
  for (const char* const only : {"window", "group"}) {
    if (effect == "keyed" || s.places.count(only) == 0) continue;
    problems
        .problem(s.places.at(only), std::string(only) + " is told of a class that is not keyed",
                 "only keyed requests carry a key by which boxes drop a repeat")
        .related.emplace_back(s.places.at("effect"), "here it is " + effect);
  }
}

void check_route(const Section& s, const Index& index, const std::set<std::string>& incomplete_splits,
                 Problems& problems) {
  if (const std::string wanted = s.word("class"); !wanted.empty())
    index.require("class", wanted, s.places.at("class"), problems);
  const auto split = s.words.find("split");
  const bool splits = s.places.count("split") > 0;
  if (s.places.count("pool") > 0) {
    index.require("pool", s.word("pool"), s.places.at("pool"), problems);
    if (splits) {
      problems
          .problem(s.places.at("split"), title_of(s) + " says both its pool and a split",
                   "take one of them out")
          .related.emplace_back(s.places.at("pool"), "here is its pool");
      return;
    }
  } else if (!splits && index.names_of("pool").size() > 1) {
    problems.problem(s.place, title_of(s) + " does not say its pool",
                     "there are several: " + join_names(index.names_of("pool")));
  }
  if (s.places.count("by") > 0 && !splits) {
    problems.problem(s.places.at("by"), "\"by\" says nothing without a split", "as in: split main 95 %");
  }
  if (!splits) return;
  if (s.places.count("by") == 0) {
    problems.problem(s.places.at("split"), title_of(s) + " splits and does not say by what",
                     "the header whose value keeps its pool, as in: by X-Client-ID");
  }
  if (split == s.words.end() || incomplete_splits.count(s.name) > 0) return;
  double sum = 0;
  std::set<std::string> seen;
  bool all = true;
  for (std::size_t n = 0; n + 1 < split->second.size(); n += 2) {
    const std::string& pool = split->second[n];
    all = index.require("pool", pool, s.places.at("split"), problems) && all;
    if (!seen.insert(pool).second) {
      problems.problem(s.places.at("split"), title_of(s) + " splits to pool " + pool + " twice",
                       "add the shares up");
      all = false;
    }
    sum += std::strtod(split->second[n + 1].c_str(), nullptr);
  }
  if (all && std::abs(sum - 1) > 1e-9) {
    problems.problem(s.places.at("split"),
                     "the shares of " + title_of(s) + " are " + number_text(sum * 100) + " % together",
                     "they must be 100 %");
  }
}

void check_fallbacks(const Document& document, const Index& index, Problems& problems) {
  std::set<std::string> reported;
  for (const Section& s : document.sections) {
    if (s.block->name != "pool" || s.places.count("fallback") == 0) continue;
    if (!index.require("pool", s.word("fallback"), s.places.at("fallback"), problems)) continue;
    std::vector<std::string> chain{s.name};
    for (const Section* at = index.section("pool", s.word("fallback")); at != nullptr;
         at = index.section("pool", at->word("fallback"))) {
      const bool back = at->name == s.name;
      const bool seen = std::find(chain.begin(), chain.end(), at->name) != chain.end();
      chain.push_back(at->name);
      if (back && reported.count(s.name) == 0) {
        reported.insert(chain.begin(), chain.end());
        std::string cycle;
        for (const std::string& name : chain) cycle.append(cycle.empty() ? "" : " -> ").append(name);
        problems.problem(s.places.at("fallback"), "these fallbacks go in a circle: " + cycle,
                         "the last of them has no fallback");
      }
      if (seen || back) break;
    }
  }
}

void check_node(const Section& s, Problems& problems) {
  const auto nodes = s.number("nodes");
  const auto index = s.number("index");
  if (!index || *index < nodes.value_or(1)) return;
  Problem& p = problems.problem(
      s.places.at("index"),
      "index is " + number_text(*index) + ", but there are " + number_text(nodes.value_or(1)) +
          (nodes.value_or(1) == 1 ? " node, counted from 0" : " nodes, counted from 0"));
  if (nodes) p.related.emplace_back(s.places.at("nodes"), "here their number is told");
}

}  // namespace

Index::Index(const Document& document) : document_(document) {
  for (const Section& s : document.sections) {
    index_.try_emplace({s.block->name, s.name}, &s);
    auto& names = names_[s.block->name];
    if (std::find(names.begin(), names.end(), s.name) == names.end() || s.block->name == "route")
      names.push_back(s.name);
  }
}

const std::vector<std::string>& Index::names_of(std::string_view block) const {
  static const std::vector<std::string> kNone;
  const auto it = names_.find(block);
  return it == names_.end() ? kNone : it->second;
}

const Section* Index::second_of(std::string_view block) const {
  const Section* last = nullptr;
  for (const Section& s : document_.sections) {
    if (s.block->name == block && std::exchange(last, &s) != nullptr) return &s;
  }
  return last;
}

const Section* Index::section(std::string_view block, std::string_view name) const {
  const auto it = index_.find({block, std::string(name)});
  return it == index_.end() ? nullptr : it->second;
}

bool Index::require(std::string_view block, const std::string& name, const Place& place,
                    Problems& problems) const {
  if (section(block, name) != nullptr) return true;
  const std::string what(block);
  problems.problem(place, "there is no " + what + " \"" + name + "\"", did_you_mean(name, names_of(block)));
  return false;
}

void check_consistency(const Document& document, const Index& index,
                       const std::set<std::string>& incomplete_splits, Problems& problems) {
  for (const Section& s : document.sections) {
    if (s.block->name == "class") check_class(s, problems);
    if (s.block->name == "route") check_route(s, index, incomplete_splits, problems);
    if (s.block->name == "pool") check_pool(document, s, problems);
    if (s.block->name == "node") check_node(s, problems);
  }
  check_fallbacks(document, index, problems);
  check_fleet(document, index, problems);
  const std::vector<std::string>& pools = index.names_of("pool");
  if (pools.size() > 1 && index.names_of("route").empty()) {
    problems.problem(index.second_of("pool")->place,
                     "there are " + std::to_string(pools.size()) + " pools and no route",
                     "a route says which requests go where, as in: route a { path \"/a/*\"; class C; pool " +
                         pools[0] + " }");
  }
}

}  // namespace shorelead::language
