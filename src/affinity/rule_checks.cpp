#include "affinity/rule_checks.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <sstream>

namespace shorelead::affinity {
namespace {

// A `must` rule keeps its bound only by moving slots, and each moved slot is closed for a while. Weights vary
// by a few percent, and below this bound that variation alone would move slots without end (slots.h).
constexpr double kMinMustBound = 1.1;
constexpr std::size_t kMaxSlots = 65536;  // of one rule; the plan is stored as one document

std::string seconds(Millis span) {
  std::ostringstream out;
  out << span / 1000 << " s";
  return out.str();
}

std::string percent(double share) {
  std::ostringstream out;
  out << std::round(share * 1000) / 10 << " %";
  return out.str();
}

// Returns the class with the longest deduplication window among those that the rule matches and whose repeats
// are dropped only within a cell or zone.
std::optional<std::string> narrow_class(const Rule& rule, const Universe& universe) {
  std::optional<std::string> worst;
  for (const auto& [name, one] : universe.classes) {
    if (!one.narrow || one.window <= 0) continue;
    if (worst && universe.classes.at(*worst).window >= one.window) continue;
    if (can_hold(all({rule.when, is(Subject::kClass, name)}), universe) != Satisfiability::kNo) worst = name;
  }
  return worst;
}

class Checker {
 public:
  Checker(const std::vector<Rule>& rules, const Universe& universe) : rules_(rules), universe_(universe) {}

  std::vector<Problem> check() {
    for (at_ = 0; at_ < rules_.size(); ++at_) {
      const Rule& rule = rules_[at_];
      check_limits(rule);
      names(rule);
      key(rule);
      check_reachable(rule);
      bound(rule);
      repeats(rule);
    }
    return std::move(problems_);
  }

 private:
  void problem(std::string cause, std::optional<std::size_t> other = std::nullopt) {
    problems_.push_back({at_, rules_[at_].place, std::move(cause), other});
  }

  void check_limits(const Rule& rule) {
    for (std::size_t n = 0; n < at_; ++n) {
      if (rules_[n].name != rule.name) continue;
      problem("another rule is called \"" + rule.name + "\": slot maps are stored by the rule's name", n);
      break;
    }
    if (!std::has_single_bit(rule.slots) || rule.slots > kMaxSlots) {
      problem("the number of slots must be a power of two, at most " + std::to_string(kMaxSlots));
    }
    if (rule.hold > universe_.keeps) {
      problem("it holds an assignment for " + seconds(rule.hold) +
              ", but the state of a lost backend is known for " + seconds(universe_.keeps) + " only");
    }
  }

  // Reports names that the configuration does not declare. A condition on one never holds, but a message with
  // the name is clearer than "it never matches".
  void names(const Rule& rule) {
    std::vector<const Condition*> open = {&rule.when};
    while (!open.empty()) {
      const Condition* const c = open.back();
      open.pop_back();
      for (const Condition& part : c->parts) open.push_back(&part);
      if (c->op != Condition::Op::kIs) continue;
      const auto& plans = universe_.plans;
      if (c->subject == Subject::kRoute && universe_.routes.count(c->value) == 0)
        problem("there is no route \"" + c->value + "\"");
      if (c->subject == Subject::kClass && universe_.classes.count(c->value) == 0)
        problem("there is no class \"" + c->value + "\"");
      if (c->subject == Subject::kPlan && std::find(plans.begin(), plans.end(), c->value) == plans.end())
        problem("there is no plan \"" + c->value + "\"");
    }
  }

  void key(const Rule& rule) {
    if (rule.key.from == KeySource::From::kPart && rule.key.part < 1) {
      problem("parts of a path are counted from 1");
    }
    if (rule.key.from != KeySource::From::kParameter) return;
    const std::string wanted = "/{" + rule.key.name + "}";
    const bool any = std::any_of(universe_.paths.begin(), universe_.paths.end(), [&](const auto& route) {
      const std::size_t found = (route.second + "/").find(wanted + "/");
      return found != std::string::npos &&
             can_hold(all({rule.when, is(Subject::kRoute, route.first)}), universe_) != Satisfiability::kNo;
    });
    if (!any) problem("no route that it takes has a parameter {" + rule.key.name + "}");
  }

  void check_reachable(const Rule& rule) {
    const Satisfiability alone = can_hold(rule.when, universe_);
    if (alone == Satisfiability::kTooMany)
      return problem("its condition names too many values to be decided; split the rule");
    if (alone == Satisfiability::kNo)
      return problem("it never matches: its condition contradicts itself or the configuration");
    std::vector<Condition> left = {rule.when};
    for (std::size_t n = 0; n < at_; ++n) {
      if (can_hold(all({rule.when, negated(rules_[n].when)}), universe_) == Satisfiability::kNo) {
        return problem("it is never reached: \"" + rules_[n].name + "\" before it takes all its requests", n);
      }
      left.push_back(negated(rules_[n].when));
    }
    const Satisfiability together = can_hold(all(std::move(left)), universe_);
    if (together == Satisfiability::kNo)
      return problem("it is never reached: those before it together take all its requests");
    if (together == Satisfiability::kTooMany)
      problem("whether it is ever reached cannot be decided; simplify its condition");
  }

  void bound(const Rule& rule) {
    if (rule.bound < 1) return problem("a bound on load relative to the mean must be at least 100 %");
    if (!rule.must) return;
    const double grain = static_cast<double>(universe_.units) / static_cast<double>(rule.slots);
    const double least = std::max(kMinMustBound, 1 + grain);
    if (rule.bound >= least) return;
    problem(
        "\"must\" cannot hold a bound of " + percent(rule.bound) +
        ": it never sends a key to another unit, so only moving whole slots keeps the bound, which takes " +
        percent(least) + " or more");
  }

  void repeats(const Rule& rule) {
    if (!rule.must) return;  // otherwise the policy keeps a repeat where it is dropped
    const auto narrow = narrow_class(rule, universe_);
    if (!narrow) return;
    const Millis window = universe_.classes.at(*narrow).window;
    const std::string why = ", but repeats of class \"" + *narrow +
                            "\" are dropped only within a cell or zone, for " + seconds(window) +
                            ": a repeat after the move would run twice";
    if (rule.on_loss == OnLoss::kMove) {
      problem("it moves on loss at once" + why);
    } else if (rule.hold < window) {
      problem("it moves on loss after " + seconds(rule.hold) + why);
    }
    if (rule.on_drain == OnDrain::kMove) {
      problem("it moves on drain at once" + why);
    } else if (rule.finish < window) {
      problem("it moves on drain after " + seconds(rule.finish) + " at most" + why);
    }
  }

  const std::vector<Rule>& rules_;
  const Universe& universe_;
  std::vector<Problem> problems_;
  std::size_t at_ = 0;
};

}  // namespace

std::vector<Problem> problems_of(const std::vector<Rule>& rules, const Universe& universe) {
  return Checker(rules, universe).check();
}

std::vector<Rule> completed(std::vector<Rule> rules, const Universe& universe) {
  for (Rule& rule : rules) {
    const auto narrow = rule.must ? narrow_class(rule, universe) : std::nullopt;
    rule.dedup_window = narrow ? universe.classes.at(*narrow).window : 0;
  }
  return rules;
}

}  // namespace shorelead::affinity
