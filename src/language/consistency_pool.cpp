#include <algorithm>
#include <map>
#include <set>

#include "language/consistency.h"
#include "language/sections.h"
#include "language/units.h"

namespace shorelead::language {

namespace {

void check_registry(const Section& s, Problems& problems) {
  check_endpoints(s, "endpoints", problems);
  for (const char* const field : {"certificate", "key", "name"}) {
    if (s.places.count(field) > 0 && s.places.count("ca") == 0) {
      problems.problem(s.places.at(field), std::string("\"") + field + "\" says nothing without a \"ca\"",
                       "TLS needs to know whom to believe, as in: ca /etc/shorelead/ca.pem");
      return;
    }
  }
  const bool own = s.places.count("certificate") > 0;
  if (own != (s.places.count("key") > 0)) {
    problems.problem(s.places.at(own ? "certificate" : "key"), "a certificate and its key go together");
  }
  if (s.places.count("prefix") > 0 && s.word("prefix").empty()) {
    problems.problem(s.places.at("prefix"), "an empty prefix would take every key for a box",
                     "as in: prefix \"/boxes/\"");
  }
}

}  // namespace

void check_endpoints(const Section& s, const std::string& field, Problems& problems) {
  std::set<std::string> seen;
  const auto endpoints = s.words.find(field);
  if (endpoints == s.words.end()) return;
  for (const std::string& one : endpoints->second) {
    if (!is_address(one)) {
      problems.problem(s.places.at(field), one + " is no address with a port",
                       "as in: " + field + " 127.0.0.1:2379");
    } else if (!seen.insert(one).second) {
      problems.problem(s.places.at(field), one + " is told twice", "take one of them out");
    }
  }
}

void check_pool(const Document& document, const Section& s, Problems& problems) {
  std::map<std::string, const Section*> dials;
  const Section* first = nullptr;
  for (const Section& backend : s.children) {
    if (backend.block->name != "box") continue;
    if (first == nullptr) first = &backend;
    const std::string dial = backend.word("dial");
    const auto [it, inserted] = dials.try_emplace(dial, &backend);
    if (!inserted && !dial.empty()) {
      problems.problem(backend.places.at("dial"), "two boxes of " + title_of(s) + " listen at " + dial)
          .related.emplace_back(it->second->places.at("dial"), "here is the other");
    }
    const auto zones = s.words.find("zones");
    if (backend.places.count("zone") == 0) continue;
    const std::string zone = backend.word("zone");
    if (zones == s.words.end() ||
        std::find(zones->second.begin(), zones->second.end(), zone) == zones->second.end()) {
      problems.problem(backend.places.at("zone"),
                       "zone is " + zone + ", which " + title_of(s) + " does not name",
                       "it names its zones as in: zones a b");
    }
  }
  const bool own = s.places.count("discovery") > 0;
  const Section* const registry = s.find("registry");
  if (registry != nullptr) {
    check_registry(*registry, problems);
    if (first != nullptr || own) {
      problems
          .problem(registry->place, title_of(s) + " has a registry and another source of boxes",
                   "take one of them out")
          .related.emplace_back(own ? s.places.at("discovery") : first->place, "here is the other");
    }
    return;
  }
  if (first != nullptr && own) {
    problems
        .problem(s.places.at("discovery"), title_of(s) + " has both boxes and a discovery",
                 "take one of them out")
        .related.emplace_back(first->place, "here is a box");
  }
  if (first != nullptr && s.places.count("list") > 0) {
    problems.problem(s.places.at("list"), "\"list\" says nothing of a pool whose boxes stand in the file")
        .related.emplace_back(first->place, "here is a box");
  }
  const Section* const node = document.find("node");
  if (first == nullptr && !own && node != nullptr && node->places.count("discovery") == 0) {
    problems.problem(
        s.place, title_of(s) + " does not say where its boxes come from",
        "by discovery 127.0.0.1:8500, here or in the node, or by boxes: box NAME { dial 127.0.0.1:9001 }");
  }
}

}  // namespace shorelead::language
