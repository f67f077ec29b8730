#include <algorithm>
#include <cstdlib>
#include <set>

#include "language/consistency.h"
#include "language/sections.h"
#include "language/units.h"

namespace shorelead::language {

namespace {

// Warns of limits that never take effect.
void add_pool_warnings(const Document& document, const Section& s, double longest_wait, Problems& problems) {
  if (const auto wait = s.number("connect_within"); wait && *wait >= longest_wait) {
    problems.warning(
        s.places.at("connect_within"),
        "connect_within never binds: no class waits longer than " + with_unit(Type::kTime, longest_wait));
  }
  const bool probing = s.number("probing").value_or(1) > 0;
  const Section* const probes = s.find("probes");
  if (probes != nullptr && !probing) {
    problems.warning(probes->place, "ceilings of probes never bind: there are none")
        .related.emplace_back(s.places.at("probing"), "here they are turned off");
  }
  const Section* const part = s.find("subset");
  const auto backends = std::count_if(s.children.begin(), s.children.end(),
                                      [](const Section& inner) { return inner.block->name == "box"; });
  const double above =
      part == nullptr ? 0 : part->number("above").value_or(2 * part->number("size").value_or(50));
  if (part != nullptr && backends > 0 && static_cast<double>(backends) <= above) {
    problems.warning(part->place, "this subset is never drawn: " + title_of(s) + " has " +
                                      std::to_string(backends) + (backends == 1 ? " box" : " boxes"));
  }
  const Section* const node = document.find("node");
  const auto nodes = node == nullptr ? std::nullopt : node->number("nodes");
  if (probes == nullptr || !nodes || backends == 0) return;
  const auto all = probes->number("per_second");
  const auto each = probes->number("per_box");
  if (all && each && *each * static_cast<double>(backends) / *nodes <= *all) {
    problems
        .warning(probes->places.at("per_second"),
                 "per_second never binds: per_box alone allows " +
                     number_text(*each * static_cast<double>(backends) / *nodes) + " rps for each node")
        .related.emplace_back(probes->places.at("per_box"), "here is per_box");
  }
}

}  // namespace

void add_warnings(const Document& document, const Index& index, Problems& problems) {
  double longest_wait = 0;
  for (const Section& s : document.sections) {
    if (s.block->name == "class") longest_wait = std::max(longest_wait, s.number("give_up").value_or(0));
  }
  const bool routed = !index.names_of("route").empty();
  std::set<std::string> used;
  for (const Section& s : document.sections) {
    if (s.block->name != "route") continue;
    used.insert("class " + s.word("class"));
    used.insert("pool " + (s.places.count("pool") > 0 ? s.word("pool") : index.names_of("pool").front()));
    const auto split = s.words.find("split");
    if (split == s.words.end()) continue;
    for (std::size_t n = 0; n + 1 < split->second.size(); n += 2) {
      used.insert("pool " + split->second[n]);
      if (std::strtod(split->second[n + 1].c_str(), nullptr) <= 0) {
        problems.warning(s.places.at("split"),
                         title_of(s) + " gives pool " + split->second[n] + " a share of nothing");
      }
    }
  }
  for (const Section& s : document.sections) {
    if (s.block->name == "pool") used.insert("pool " + s.word("fallback"));
  }
  for (const Section& s : document.sections) {
    const std::string_view kind = s.block->name;
    if (routed && (kind == "class" || kind == "pool") && used.count(title_of(s)) == 0) {
      problems.warning(s.place, "no route leads to " + title_of(s),
                       "take it out, or say which requests are meant");
    }
    if (kind == "class" && s.places.count("late_value") > 0 && s.number("aim") == s.number("give_up")) {
      problems.warning(s.places.at("late_value"),
                       "no answer of " + title_of(s) + " is late: its aim is its give_up");
    }
    if (kind == "pool") add_pool_warnings(document, s, longest_wait, problems);
  }
  add_fleet_warnings(document, problems);
}

}  // namespace shorelead::language
