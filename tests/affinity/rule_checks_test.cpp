// Problems reported at load by table; the satisfiability search compared with trying every request.
#include "affinity/rule_checks.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shorelead::affinity {
namespace {

Universe a_universe() {
  Universe u;
  u.classes = {{"check", {}}, {"pay", {60000, false}}, {"post", {60000, true}}};
  u.routes = {{"shop", "check"}, {"till", "pay"}, {"desk", "post"}};
  u.paths = {{"shop", "/baskets/{id}"}, {"till", "/pay/{id}/now"}, {"desk", "/desk/*"}};
  u.tenants = {{"acme", "gold"}, {"bolt", "silver"}};
  u.plans = {"gold", "silver", "free"};
  u.no_plan = "free";
  u.units = 50;
  return u;
}

Rule a_rule(Condition when, std::string name = "one") {
  Rule rule;
  rule.name = std::move(name);
  rule.place = "a.shore:" + std::to_string(rule.name.size());
  rule.when = std::move(when);
  return rule;
}

const Condition kShop = is(Subject::kRoute, "shop");
const Condition kCheck = is(Subject::kClass, "check");
const Condition kGet = is(Subject::kMethod, "GET");
const Condition kPut = is(Subject::kMethod, "PUT");
const Condition kYes = field_is("x", "yes");

TEST(RuleChecks, DecidesWhetherAConditionCanHold) {
  const std::vector<std::pair<Condition, Satisfiability>> table = {
      {{}, Satisfiability::kYes},
      {all({kGet, kPut}), Satisfiability::kNo},
      {any({kGet, kPut}), Satisfiability::kYes},
      {negated(any({kGet, negated(kGet)})), Satisfiability::kNo},
      {all({kShop, kCheck}), Satisfiability::kYes},
      {all({kShop, negated(kCheck)}), Satisfiability::kNo},  // a route has one class
      {is(Subject::kClass, "chekc"), Satisfiability::kNo},
      {negated(any({kCheck, is(Subject::kClass, "pay"), is(Subject::kClass, "post")})), Satisfiability::kNo},
      {all({is(Subject::kTenant, "acme"), is(Subject::kPlan, "silver")}), Satisfiability::kNo},
      {all({is(Subject::kTenant, "new"), is(Subject::kPlan, "free")}), Satisfiability::kYes},
      {all({is(Subject::kTenant, "new"), is(Subject::kPlan, "gold")}), Satisfiability::kNo},
      {all({kYes, field_is("x", "no")}), Satisfiability::kNo},
      {all({kYes, negated(field_present("x"))}), Satisfiability::kNo},
      {all({field_present("x"), negated(kYes), negated(field_is("x", "no"))}), Satisfiability::kYes},
      {all({negated(field_present("x")), field_is("y", "yes")}), Satisfiability::kYes},
  };
  for (std::size_t n = 0; n < table.size(); ++n) {
    EXPECT_EQ(can_hold(table[n].first, a_universe()), table[n].second) << n;
  }
  // Pairs of fields that must differ: the search gives up after its step limit and reports that.
  std::vector<Condition> parts;
  for (int n = 0; n < 24; ++n) {
    const std::string a = "left-" + std::to_string(n), b = "right-" + std::to_string(n);
    parts.push_back(any({all({field_present(a), negated(field_present(b))}),
                         all({field_present(b), negated(field_present(a))})}));
  }
  parts.push_back(all({field_present("z"), negated(field_present("z"))}));
  EXPECT_EQ(can_hold(all(parts), a_universe()), Satisfiability::kTooMany);
}

// A random condition over few attributes, so that every request can be tried.
Condition gen_condition(int depth) {
  const int kind = *rc::gen::inRange(0, depth > 0 ? 7 : 4);
  if (kind == 0) return is(Subject::kRoute, *rc::gen::element<std::string>("shop", "till"));
  if (kind == 1) return is(Subject::kClass, *rc::gen::element<std::string>("check", "pay"));
  if (kind == 2) return field_present("x");
  if (kind == 3) return field_is("x", *rc::gen::element<std::string>("1", "2"));
  if (kind == 4) return negated(gen_condition(depth - 1));
  std::vector<Condition> parts = {gen_condition(depth - 1), gen_condition(depth - 1)};
  return kind == 5 ? all(std::move(parts)) : any(std::move(parts));
}

RC_GTEST_PROP(RuleChecks, SearchAgreesWithTryingEveryRequest, ()) {
  const Condition condition = gen_condition(4);
  bool any = false;
  for (const auto& [route, request_class] : a_universe().routes) {
    for (const std::string_view value : {"", "1", "2", "3"}) {
      const std::function<std::string_view(std::string_view)> field = [value](std::string_view) {
        return value;
      };
      any = any || holds(condition, {route, request_class, "", "free", "GET", "/", "/", &field});
    }
  }
  RC_ASSERT(can_hold(condition, a_universe()) == (any ? Satisfiability::kYes : Satisfiability::kNo));
}

struct ProblemCase {
  std::vector<Rule> rules;
  std::string cause;  // part of the text of the only problem; empty = no problem
  std::size_t rule = 0;
  std::optional<std::size_t> other = std::nullopt;
};

Rule changed(Rule rule, const std::function<void(Rule&)>& change) {
  change(rule);
  return rule;
}

TEST(RuleChecks, ReportsEachProblemWithItsCause) {
  const Rule any_rule = a_rule({});
  const Rule must = changed(any_rule, [](Rule& r) {
    r.must = true;
    r.when = kShop;
  });
  const Rule narrow = changed(a_rule(is(Subject::kRoute, "desk")), [](Rule& r) {
    r.must = true;
    r.on_loss = OnLoss::kRefuse;
    r.hold = r.finish = 60000;
  });
  const std::vector<ProblemCase> table = {
      {{a_rule(kGet), a_rule(kPut, "other"), a_rule({}, "last")}, ""},
      {{a_rule(all({kGet, kPut}))}, "never matches"},
      {{a_rule(kGet), a_rule(all({kGet, kShop}), "other")}, "\"one\" before it", 1, 0},
      {{a_rule(kYes), a_rule(negated(kYes), "other"), a_rule({}, "last")}, "together take all", 2},
      {{a_rule(kGet), a_rule(kPut)}, "another rule is called", 1, 0},
      {{a_rule(any({kGet, is(Subject::kClass, "chekc")}))}, "no class \"chekc\""},
      {{a_rule(any({kGet, is(Subject::kPlan, "gould")}))}, "no plan \"gould\""},
      {{changed(any_rule, [](Rule& r) { r.hold = 3600001; })}, "is known for 3600 s only"},
      {{changed(any_rule, [](Rule& r) { r.slots = 1000; })}, "power of two"},
      {{changed(any_rule, [](Rule& r) { r.bound = 0.9; })}, "at least 100 %"},
      {{changed(any_rule, [](Rule& r) { r.bound = 1; })}, ""},
      {{must}, ""},
      {{changed(must, [](Rule& r) { r.bound = 1.05; })}, "cannot hold a bound of 105 %"},
      {{changed(must, [](Rule& r) { r.slots = 128; })}, "which takes 139.1 % or more"},
      {{changed(any_rule,
                [](Rule& r) {
                  r.key = {KeySource::From::kParameter, "id", 0};
                })},
       ""},
      {{changed(any_rule,
                [](Rule& r) {
                  r.key = {KeySource::From::kParameter, "i", 0};
                })},
       "parameter {i}"},
      {{changed(a_rule(is(Subject::kRoute, "desk")),
                [](Rule& r) {
                  r.key = {KeySource::From::kParameter, "id", 0};
                })},
       "parameter {id}"},
      {{changed(any_rule,
                [](Rule& r) {
                  r.key = {KeySource::From::kPart, "", 0};
                })},
       "counted from 1"},
      {{narrow}, ""},
      {{changed(narrow,
                [](Rule& r) {
                  r.must = false;
                  r.hold = 0;
                })},
       ""},
      {{changed(narrow,
                [](Rule& r) {
                  r.when = negated(is(Subject::kClass, "post"));
                  r.hold = 0;
                })},
       ""},
      {{changed(narrow, [](Rule& r) { r.hold = 59000; })}, "moves on loss after 59 s"},
      {{changed(narrow, [](Rule& r) { r.on_loss = OnLoss::kMove; })}, "moves on loss at once"},
      {{changed(narrow, [](Rule& r) { r.finish = 59000; })}, "moves on drain after 59 s"},
      {{changed(narrow, [](Rule& r) { r.on_drain = OnDrain::kMove; })}, "moves on drain at once"},
  };
  for (std::size_t n = 0; n < table.size(); ++n) {
    const std::vector<Problem> problems = problems_of(table[n].rules, a_universe());
    ASSERT_EQ(problems.size(), table[n].cause.empty() ? 0u : 1u) << n;
    if (problems.empty()) continue;
    EXPECT_NE(problems[0].cause.find(table[n].cause), std::string::npos) << problems[0].cause;
    EXPECT_EQ(problems[0].rule, table[n].rule) << n;
    EXPECT_EQ(problems[0].place, table[n].rules[table[n].rule].place) << n;
    EXPECT_EQ(problems[0].other, table[n].other) << n;
  }
  EXPECT_EQ(completed({narrow, must}, a_universe())[0].dedup_window, 60000);
  EXPECT_EQ(completed({narrow, must}, a_universe())[1].dedup_window, 0);
}

}  // namespace
}  // namespace shorelead::affinity
