#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "language/consistency.h"
#include "language/sections.h"
#include "language/units.h"

namespace shorelead::language {
namespace {

constexpr std::size_t kMaxBudgets = 64;  // the budgets that a request draws on are a 64-bit mask

constexpr double kMinTokensPerProcess =
    2;  // of a burst, for each process: one in its reserve, one in its share

// The fields that each kind of budget requires and allows.
struct Kind {
  std::string_view name;
  std::array<std::string_view, 2> needs;
  std::array<std::string_view, 3> may;
  std::string_view example;
};
constexpr std::array<Kind, 3> kKinds = {{
    {"rate", {"rate", "burst"}, {"rate", "burst", ""}, "kind rate; rate 200 rps; burst 20"},
    {"at_once", {"most", "most"}, {"most", "", ""}, "kind at_once; most 40"},
    {"attempts",
     {"few", "window"},
     {"few", "window", "ratio"},
     "kind attempts; few 5; ratio 10 %; window 10 s"},
}};

const Kind* kind_of(const Section& budget) {
  const std::string name = budget.word("kind");
  const auto it = std::find_if(kKinds.begin(), kKinds.end(), [&](const Kind& k) { return k.name == name; });
  return it == kKinds.end() ? nullptr : &*it;
}

void check_budget(const Section& s, const Index& index, Problems& problems) {
  for (const char* const scope : {"pool", "route", "class"}) {
    if (s.places.count(scope) > 0) index.require(scope, s.word(scope), s.places.at(scope), problems);
  }
  const Kind* const kind = kind_of(s);
  if (kind == nullptr) return;  // already reported
  const std::string as = "as in: budget " + s.name + " { " + std::string(kind->example) + " }";
  for (const Kind& other : kKinds) {
    for (const std::string_view field : other.may) {
      const bool its_own = std::find(kind->may.begin(), kind->may.end(), field) != kind->may.end();
      if (field.empty() || its_own || s.places.count(std::string(field)) == 0) continue;
      problems.problem(
          s.places.at(std::string(field)),
          std::string("\"").append(field).append("\" says nothing of a budget of kind ").append(kind->name),
          as);
    }
  }
  for (std::size_t n = 0; n < kind->needs.size(); ++n) {
    const std::string field(kind->needs[n]);
    if (s.places.count(field) > 0 || (n > 0 && kind->needs[n] == kind->needs[n - 1])) continue;
    problems.problem(s.places.at("kind"), title_of(s) + " does not say its " + field, as);
  }
  // Retries are decided by the policy, which has one instance per pool.
  for (const char* const scope : {"route", "class", "tenant"}) {
    if (kind->name != "attempts" || s.places.count(scope) == 0) continue;
    problems.problem(s.places.at(scope), "further attempts are counted by pool, not by " + std::string(scope),
                     "take it out, or name a pool");
  }
}

void check_plans(const Document& document, Problems& problems) {
  std::map<std::string, const Section*> plan_by_tenant;
  const Section* first_default = nullptr;
  for (const Section& s : document.sections) {
    if (s.block->name != "plan") continue;
    const auto tenants = s.words.find("tenants");
    if (tenants != s.words.end()) {
      for (const std::string& tenant : tenants->second) {
        const auto [it, inserted] = plan_by_tenant.try_emplace(tenant, &s);
        if (inserted) continue;
        problems.problem(s.places.at("tenants"), "tenant " + tenant + " has two plans", "take it out of one")
            .related.emplace_back(it->second->places.at("tenants"), "here is the other");
      }
    }
    if (s.number("default").value_or(0) == 0) continue;
    if (first_default == nullptr) {
      first_default = &s;
      continue;
    }
    problems.problem(s.places.at("default"), "two plans are the default", "take one of them out")
        .related.emplace_back(first_default->places.at("default"), "here is the other");
  }
}

}  // namespace

void check_fleet(const Document& document, const Index& index, Problems& problems) {
  const Section* const fleet = document.find("fleet");
  if (fleet != nullptr) {
    check_endpoints(*fleet, "store", problems);
    if (fleet->places.count("prefix") > 0 && !fleet->word("prefix").ends_with("/")) {
      problems.problem(fleet->places.at("prefix"),
                       "prefix is \"" + fleet->word("prefix") + "\", which does not end in \"/\"",
                       "as in: prefix \"/fleet/\"");
    }
  }
  for (const Section& s : document.sections) {
    if (s.block->name != "budget" && s.block->name != "plan" && s.block->name != "affinity") continue;
    if (fleet == nullptr) {
      problems.problem(s.place, title_of(s) + " is the fleet's, and nothing says what the fleet is",
                       "as in: fleet { store 127.0.0.1:2379; prefix \"/fleet/\"; processes 20 }");
    }
    if (s.block->name == "budget") check_budget(s, index, problems);
    if (s.block->name == "affinity") check_affinity(s, problems);
  }
  if (index.names_of("budget").size() > kMaxBudgets) {
    problems.problem(index.section("budget", index.names_of("budget")[kMaxBudgets])->place,
                     "there are more than " + std::to_string(kMaxBudgets) + " budgets");
  }
  check_plans(document, problems);
}

void add_fleet_warnings(const Document& document, Problems& problems) {
  const Section* const fleet = document.find("fleet");
  if (fleet == nullptr) return;
  const double processes = *fleet->number("processes");
  for (const Section& s : document.sections) {
    const Kind* const kind = s.block->name == "budget" ? kind_of(s) : nullptr;
    if (kind == nullptr) continue;
    const char* const counted = kind->name == "rate" ? "burst" : kind->name == "at_once" ? "most" : "few";
    const double total = s.number(counted).value_or(0);
    const double reserve = s.number("reserve").value_or(0.05);
    if (total > 0 && total < processes) {
      problems.warning(s.places.at(counted), std::string(counted) + " of " + title_of(s) + " is " +
                                                 number_text(total) + " for " + number_text(processes) +
                                                 " processes: not all can have one at a time, they go round");
    } else if (s.places.count("reserve") > 0 && reserve > 0 &&
               (kind->name == "rate" ? 2 * processes > total : total * reserve < processes)) {
      problems.warning(
          s.places.at("reserve"),
          "the reserve of " + title_of(s) + " is less than one for each process, so there is none",
          "at least " + number_text(100 * processes / total) + " %, or 0 %");
    } else if (kind->name == "rate" && total > 0 && total < kMinTokensPerProcess * processes) {
      problems.warning(
          s.places.at(counted),
          title_of(s) +
              " has a burst of less than two for each process: what comes close together there is "
              "refused while the whole is not used up",
          "four for each let nearly all through: burst " + number_text(2 * kMinTokensPerProcess * processes));
    }
  }
  const bool any = std::any_of(document.sections.begin(), document.sections.end(), [](const Section& s) {
    return s.block->name == "budget" || s.block->name == "plan" || s.block->name == "affinity";
  });
  if (!any)
    problems.warning(fleet->place, "nothing is shared by this fleet",
                     "a budget, a plan or a rule of affinity is");
}

}  // namespace shorelead::language
