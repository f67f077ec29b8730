// Checks affinity rules when a configuration is read. Pure: takes the rules and the known routes, classes,
// tenants and plans, and returns the problems with their places. Owns the decision whether a condition can be
// satisfied at all; a rule for which that cannot be decided is reported, never accepted.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "affinity/rules.h"
#include "base/millis.h"

namespace shorelead::affinity {

// What the configuration declares besides the rules.
struct Universe {
  struct Class {
    Millis window = 0;    // keyed: for how long repeats are dropped; 0 = not keyed
    bool narrow = false;  // repeats are dropped only within the cell or zone of the first attempt
  };
  std::map<std::string, Class> classes;
  std::map<std::string, std::string> routes;   // class by route name; if empty, no request has a route
  std::map<std::string, std::string> paths;    // path pattern by route name
  std::map<std::string, std::string> tenants;  // plan by tenant name; other tenants have `no_plan`
  std::vector<std::string> plans;
  std::string no_plan;     // the plan of tenants that no plan lists; empty = none
  Millis keeps = 3600000;  // how long the state of lost backends is kept: the longest hold
  std::size_t units = 0;   // backends, cells or zones that may own slots at once, as far as known
};

struct Problem {
  std::size_t rule = 0;
  std::string place;  // file:line of the rule
  std::string cause;
  std::optional<std::size_t> other;  // the rule that it conflicts with
};

// Returns all problems, in the order of the rules.
std::vector<Problem> problems_of(const std::vector<Rule>& rules, const Universe& universe);

// Returns the rules with `Rule::dedup_window` set.
std::vector<Rule> completed(std::vector<Rule> rules, const Universe& universe);

// Whether any request can satisfy a condition. All values that a condition does not name are equivalent, so
// there are finitely many kinds of requests. The search assigns one attribute after another and stops a
// branch as soon as the attributes assigned so far decide the condition (three-valued logic).
enum class Satisfiability { kYes, kNo, kTooMany };  // kTooMany: undecided after `kMaxSteps` steps
inline constexpr int kMaxSteps = 200000;
Satisfiability can_hold(const Condition& condition, const Universe& universe);

}  // namespace shorelead::affinity
