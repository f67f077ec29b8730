// What is wrong with rules of affinity, found when a configuration is read. Pure: rules and what is known of
// routes, classes, tenants and plans in, problems with their places out. Owns the decision whether a
// condition can hold at all; it must never let a rule pass that it could not decide.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "affinity/rules.h"
#include "base/millis.h"

namespace shorelead::affinity {

// What a configuration knows beside the rules.
struct Universe {
  struct Class {
    Millis window = 0;    // keyed: for how long repeats are dropped; 0 = it is not keyed
    bool narrow = false;  // and only within the cell or zone of the first send
  };
  std::map<std::string, Class> classes;
  std::map<std::string, std::string> routes;   // its class by a route's name; without any, no request has one
  std::map<std::string, std::string> paths;    // its path by a route's name
  std::map<std::string, std::string> tenants;  // its plan by a tenant's name; other tenants have `no_plan`
  std::vector<std::string> plans;
  std::string no_plan;     // the plan of tenants that stand in none; empty = none
  Millis keeps = 3600000;  // for how long the state of what was lost is kept: the longest hold
  std::size_t units = 0;   // backends, cells or zones that may have slots at once, as far as it is known
};

struct Problem {
  std::size_t rule = 0;
  std::string place;  // file:line of the rule
  std::string cause;
  std::optional<std::size_t> other;  // the rule that it clashes with
};

// All problems, in the order of rules.
std::vector<Problem> problems_of(const std::vector<Rule>& rules, const Universe& universe);

// Sets `Rule::still`, and gives back the rules.
std::vector<Rule> completed(std::vector<Rule> rules, const Universe& universe);

// Whether any request at all can meet a condition. Each word that a condition does not name is like any other
// that it does not name, so there are finitely many kinds of requests; they are tried one word after another,
// and no further where what is tried decides the condition (three-valued logic).
enum class Can { kYes, kNo, kTooMany };  // kTooMany: over `kMostSteps` were needed
inline constexpr int kMostSteps = 200000;
Can can_hold(const Condition& condition, const Universe& universe);

}  // namespace shorelead::affinity
