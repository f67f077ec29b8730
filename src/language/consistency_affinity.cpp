// Checks the consistency of one affinity rule. Its condition and its order among the other rules are checked
// in src/affinity, which parses conditions.
#include <algorithm>
#include <array>

#include "language/consistency.h"
#include "language/sections.h"
#include "language/units.h"

namespace shorelead::language {
namespace {

struct Source {
  std::string_view name;
  std::string_view takes;  // help for the argument that follows it; empty = takes none
};
constexpr std::array<Source, 5> kSources = {
    {{"header", "its name, as in: key header X-Basket"},
     {"cookie", "its name, as in: key cookie basket"},
     {"part", "its number, as in: key part 2"},
     {"parameter", "its name in the route's path, as in: key parameter id"},
     {"tenant", ""}}};

void check_key(const Section& rule, Problems& problems) {
  const auto key = rule.words.find("key");
  if (key == rule.words.end() || key->second.empty()) return;
  const Place& place = rule.places.at("key");
  const std::vector<std::string>& words = key->second;
  const auto source = std::find_if(kSources.begin(), kSources.end(),
                                   [&words](const Source& s) { return s.name == words.front(); });
  if (source == kSources.end()) {
    std::vector<std::string> known;
    for (const Source& one : kSources) known.emplace_back(one.name);
    problems.problem(place, "key cannot be " + words.front(), did_you_mean(words.front(), known));
    return;
  }
  const std::size_t wanted = source->takes.empty() ? 1 : 2;
  if (words.size() != wanted) {
    problems.problem(place,
                     "key " + words.front() + (wanted == 1 ? " takes nothing behind it" : " takes one word"),
                     std::string(source->takes));
    return;
  }
  const bool number = wanted == 2 && words[1].size() <= 2 && words[1][0] >= '1' && words[1][0] <= '9' &&
                      words[1].find_first_not_of("0123456789") == std::string::npos;
  if (source->name == "part" && !number) {
    problems.problem(place, "part is " + words[1] + ", where a whole number from 1 to 99 is due",
                     "parts of the path are counted from 1");
  }
}

}  // namespace

// `wait`, `hold` and `finish` have no effect with some values of `must`, `on_loss` and `on_drain`.
void check_affinity(const Section& rule, Problems& problems) {
  check_key(rule, problems);
  const bool must = rule.number("must").value_or(0) > 0;
  if (rule.places.count("wait") > 0 && !must) {
    problems.problem(rule.places.at("wait"), "nothing waits by " + title_of(rule) + ", which is no \"must\"",
                     "take it out, or say: must yes");
  }
  if (rule.places.count("hold") > 0 && rule.word("on_loss") != "refuse") {
    problems.problem(rule.places.at("hold"),
                     title_of(rule) + " moves keys of a lost box at once and holds none",
                     "take it out, or say: on_loss refuse");
  }
  if (rule.places.count("finish") > 0 && rule.word("on_drain") == "move") {
    problems
        .problem(rule.places.at("finish"), "nothing finishes at a box that drains by " + title_of(rule),
                 "take one of them out")
        .related.emplace_back(rule.places.at("on_drain"), "here it is called off");
  }
}

}  // namespace shorelead::language
