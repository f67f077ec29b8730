// Decides whether a condition can be satisfied: the search over kinds of requests.
#include <algorithm>
#include <set>
#include <utility>

#include "affinity/rule_checks.h"

namespace shorelead::affinity {
namespace {

// Stands for every value that the condition does not name; no real value equals it.
const std::string kOther("\0other", 6);

using Word = std::pair<Subject, std::string>;  // the string: the name of a header field, else empty
using Words = std::map<Word, std::string>;     // the values assigned so far; an empty one means absent

enum class Truth { kNo, kOpen, kYes };

Truth truth(const Condition& c, const Words& words) {
  switch (c.op) {
    case Condition::Op::kAlways:
      return Truth::kYes;
    case Condition::Op::kIs:
    case Condition::Op::kPresent: {
      const auto it = words.find({c.subject, c.name});
      if (it == words.end()) return Truth::kOpen;
      const bool holds = c.op == Condition::Op::kIs ? it->second == c.value : !it->second.empty();
      return holds ? Truth::kYes : Truth::kNo;
    }
    case Condition::Op::kNot:
      return static_cast<Truth>(2 - static_cast<int>(truth(c.parts.front(), words)));
    case Condition::Op::kAll:
    case Condition::Op::kAny: {
      const bool all = c.op == Condition::Op::kAll;
      Truth whole = all ? Truth::kYes : Truth::kNo;
      for (const Condition& part : c.parts) {
        const Truth one = truth(part, words);
        whole = all ? std::min(whole, one) : std::max(whole, one);
      }
      return whole;
    }
  }
  return Truth::kOpen;
}

void named_in(const Condition& c, std::map<Word, std::set<std::string>>& named) {
  if (c.op == Condition::Op::kIs) named[{c.subject, c.name}].insert(c.value);
  if (c.op == Condition::Op::kPresent) named[{c.subject, c.name}];
  for (const Condition& part : c.parts) named_in(part, named);
}

// Attributes that are assigned together, each choice one kind of request: a route has one class, a tenant one
// plan.
using Choices = std::vector<Words>;

class Search {
 public:
  Search(const Condition& condition, const Universe& universe) : condition_(condition) {
    named_in(condition, named_);
    const auto about = [this](Subject s) { return named_.count({s, ""}) > 0; };
    if (about(Subject::kRoute) || about(Subject::kClass)) choices_.push_back(routes(universe));
    if (about(Subject::kTenant) || about(Subject::kPlan)) choices_.push_back(tenants(universe));
    for (const auto& [word, values] : named_) {
      if (word.first != Subject::kMethod && word.first != Subject::kField) continue;
      Choices all = {{{word, kOther}}};
      if (word.first == Subject::kField) all.push_back({{word, ""}});
      for (const std::string& value : values) all.push_back({{word, value}});
      choices_.push_back(std::move(all));
    }
  }

  Satisfiability decide() { return from(0); }

 private:
  // Returns the value itself if the condition names it, else kOther; an empty one stays empty.
  std::string kind(Subject subject, const std::string& word) const {
    const auto it = named_.find({subject, ""});
    return it != named_.end() && it->second.count(word) > 0 ? word : word.empty() ? word : kOther;
  }

  Choices pairs(Subject one, Subject other, const std::set<std::pair<std::string, std::string>>& all) const {
    std::set<std::pair<std::string, std::string>> kinds;
    for (const auto& [a, b] : all) kinds.emplace(kind(one, a), kind(other, b));
    Choices choices;
    for (const auto& [a, b] : kinds) choices.push_back({{{one, ""}, a}, {{other, ""}, b}});
    return choices;
  }

  Choices routes(const Universe& universe) const {
    std::set<std::pair<std::string, std::string>> all(universe.routes.begin(), universe.routes.end());
    if (universe.routes.empty()) {
      for (const auto& [name, one] : universe.classes) all.emplace("", name);
    }
    return pairs(Subject::kRoute, Subject::kClass, all);
  }

  Choices tenants(const Universe& universe) const {
    std::set<std::pair<std::string, std::string>> all(universe.tenants.begin(), universe.tenants.end());
    all.emplace("", universe.no_plan);  // all tenants that neither the condition nor a plan names
    const auto it = named_.find({Subject::kTenant, ""});
    if (it != named_.end()) {
      for (const std::string& name : it->second) {
        if (universe.tenants.count(name) == 0) all.emplace(name, universe.no_plan);
      }
    }
    return pairs(Subject::kTenant, Subject::kPlan, all);
  }

  Satisfiability from(std::size_t depth) {
    if (++steps_ > kMaxSteps) return Satisfiability::kTooMany;
    const Truth now = truth(condition_, words_);
    if (now != Truth::kOpen) return now == Truth::kYes ? Satisfiability::kYes : Satisfiability::kNo;
    Satisfiability best = Satisfiability::kNo;
    for (const Words& choice : choices_[depth]) {
      for (const auto& [word, value] : choice) words_[word] = value;
      const Satisfiability here = from(depth + 1);
      if (here == Satisfiability::kYes || here == Satisfiability::kTooMany) best = here;
      if (best != Satisfiability::kNo) break;
    }
    for (const auto& [word, value] : choices_[depth].empty() ? Words() : choices_[depth][0])
      words_.erase(word);
    return best;
  }

  const Condition& condition_;
  std::map<Word, std::set<std::string>> named_;
  std::vector<Choices> choices_;
  Words words_;
  int steps_ = 0;
};

}  // namespace

Satisfiability can_hold(const Condition& condition, const Universe& universe) {
  return Search(condition, universe).decide();
}

}  // namespace shorelead::affinity
