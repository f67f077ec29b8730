// The text of conditions: their meaning and the column of each error by table, the round trip by property.
#include "affinity/condition.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shorelead::affinity {
namespace {

const Condition kCheck = is(Subject::kClass, "check");
const Condition kGet = is(Subject::kMethod, "GET");
const Condition kTest = field_is("x-test", "yes");

TEST(ConditionText, ParsesToTheExpectedCondition) {
  const std::vector<std::pair<std::string, Condition>> table = {
      {"class = check", kCheck},
      {"  class=check ", kCheck},
      {"class != check", negated(kCheck)},
      {"class = check and not header X-Test = yes", all({kCheck, negated(kTest)})},
      {"header X-Test", field_present("x-test")},
      {"header X-Test != yes", negated(kTest)},
      {"header X-Test and class = check", all({field_present("x-test"), kCheck})},
      {"class = check or method = GET and header x-test = yes", any({kCheck, all({kGet, kTest})})},
      {"(class = check or method = GET) and header x-test = yes", all({any({kCheck, kGet}), kTest})},
      {"not not class = check", negated(negated(kCheck))},
      {"not (class = check)", negated(kCheck)},
      {"tenant = 'a b=c(d)'", is(Subject::kTenant, "a b=c(d)")},
      {"plan = gold and route = /a/b", all({is(Subject::kPlan, "gold"), is(Subject::kRoute, "/a/b")})},
      {"class = and", is(Subject::kClass, "and")},
  };
  for (const auto& [text, condition] : table) {
    const Parsed parsed = parse_condition(text);
    EXPECT_EQ(parsed.cause, "") << text;
    EXPECT_TRUE(parsed.condition == condition) << text << " is " << text_of(parsed.condition);
  }
}

TEST(ConditionText, ReportsTheColumnOfEachError) {
  struct Case {
    std::string text, cause;
    std::size_t column;
  };
  const std::vector<Case> table = {
      {"", "expected a condition", 1},
      {"klass = check", "expected a condition", 1},
      {"class check", "expected \"=\" or \"!=\"", 7},
      {"class =", "expected a value", 8},
      {"class = check method = GET", "expected \"and\", \"or\" or the end", 15},
      {"class = check and", "expected a condition", 18},
      {"class = check and or", "expected a condition", 19},
      {"(class = check", "expected \")\"", 15},
      {"class = check)", "expected \"and\", \"or\" or the end", 14},
      {"not", "expected a condition", 4},
      {"header and class = check", "expected the name of a header", 8},
      {"header X-A = ", "expected a value", 14},
      {"tenant = 'a", "is not closed", 12},
      {"tenant = ''", "must not be empty", 11},
      {std::string(1025, '('), "1,024 bytes", 1025},
      {std::string(1024, '('), "expected a condition", 1025},
  };
  for (const Case& c : table) {
    const Parsed parsed = parse_condition(c.text);
    EXPECT_NE(parsed.cause.find(c.cause), std::string::npos) << c.text << ": " << parsed.cause;
    EXPECT_EQ(parsed.column, c.column) << c.text;
  }
}

Condition gen(int depth) {
  const auto word = [] {
    return *rc::gen::nonEmpty(rc::gen::container<std::string>(rc::gen::elementOf(std::string("aZ0_= ("))));
  };
  const int kind = *rc::gen::inRange(0, depth > 0 ? 6 : 3);
  if (kind == 0) return is(*rc::gen::element(Subject::kRoute, Subject::kPlan, Subject::kMethod), word());
  if (kind == 1) return field_is("x-a", word());
  if (kind == 2) return field_present("not-b");
  if (kind == 3) return negated(gen(depth - 1));
  std::vector<Condition> parts = {gen(depth - 1), gen(depth - 1)};
  return kind == 4 ? all(std::move(parts)) : any(std::move(parts));
}

RC_GTEST_PROP(ConditionText, RoundTrips, ()) {
  const Condition condition = gen(4);
  const std::string text = text_of(condition);
  if (text.size() > kMaxTextBytes) return;
  const Parsed parsed = parse_condition(text);
  RC_ASSERT(parsed.cause == "");
  RC_ASSERT(parsed.condition == condition);
}

// Any bytes parse to a condition or to an error with a column within the text.
RC_GTEST_PROP(ConditionText, ArbitraryBytesGiveAConditionOrAnError, (const std::string& text)) {
  const Parsed parsed = parse_condition("not " + text);
  RC_ASSERT(parsed.cause.empty() || (parsed.column >= 1 && parsed.column <= text.size() + 5));
}

}  // namespace
}  // namespace shorelead::affinity
