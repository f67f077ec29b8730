// Affinity rules in the text of a configuration: errors with file, line and cause; the output of explain and
// diff.
#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

#include "node/config_diff.h"
#include "node/explain.h"
#include "node/language_binding.h"

namespace shorelead::node {
namespace {

constexpr const char* kSite = R"(node n { listen 127.0.0.1:8081; seed 1f }
class check { effect safe; aim 100 ms; give_up 1 s }
class post { effect keyed; group cell; window 1 min; aim 100 ms; give_up 1 s }
pool main { box a { dial 127.0.0.1:9001 } }
fleet { store 127.0.0.1:2379; prefix "/fleet/"; processes 20 }
plan gold { rank 1; tenants acme }
plan free { rank 2; default yes }
route shop { path "/baskets/{id}"; class check }
route desk { path "/desk/*"; class post }
)";

Config loaded(const std::string& rules, std::string text = kSite) {
  language::Reader reader;
  text += rules;
  reader.read = [text](const std::string&) { return std::optional(text); };
  return load_shore("a.shore", {}, reader);
}

std::string refused(const std::string& rules) {
  try {
    loaded(rules);
  } catch (const FieldError& error) {
    return error.what();
  }
  return "";
}

TEST(AffinityFile, ReportsErrorsWithPlaceAndCause) {
  const std::vector<std::pair<std::string, std::string>> table = {
      {"affinity a { key tenant }", ""},
      {"affinity a { when \"class check\"; key tenant }",
       "a.shore:10:14: error: affinity a: expected \"=\" or \"!=\"\n    class check\n          ^"},
      {"affinity a { when \"class = check and route = desk\"; key tenant }",
       "a.shore:10: error: affinity a: it never"},
      {"affinity a { key tenant }\naffinity b { key part 2 }",
       "a.shore:11: error: affinity b: it is never reached: \"a\" before it takes all its requests\n"
       "  a.shore:10: here is affinity a"},
      {"affinity a { when \"plan = silver\"; key tenant }", "there is no plan \"silver\""},
      {"affinity a { when \"tenant = acme and plan = free\"; key tenant }", "it never matches"},
      {"affinity a { when \"route = desk\"; key parameter id }",
       "no route that it takes has a parameter {id}"},
      {"affinity a { when \"route = desk\"; key tenant; must yes }", "repeats of class \"post\""},
      {"affinity a { when \"route = desk\"; key tenant; must yes; on_loss refuse; hold 1 min; finish 1 min }",
       ""},
      {"affinity a { when \"class = check\"; key tenant; must yes; bound 105 % }",
       "cannot hold a bound of 105 %"},
      {"affinity a { key tenant; slots 1000 }", "a power of two"},
  };
  for (const auto& [rules, cause] : table) {
    const std::string words = refused(rules);
    EXPECT_EQ(words.empty(), cause.empty()) << words;
    EXPECT_NE(words.find(cause), std::string::npos) << words;
  }
  const Config config = loaded(
      "affinity a { when \"route = desk\"; key tenant; must yes; on_loss refuse; hold 2 min; finish 1 min }");
  EXPECT_EQ(config.shared->affinity[0].dedup_window, 60000);
  // A request sent before its process died may run until the longest give_up of the classes that the rule
  // matches.
  EXPECT_EQ(config.shared->sharing.longest, 1000);
  EXPECT_EQ(loaded("affinity a { key tenant }").shared->sharing.longest, 0) << "must alone needs it";
}

// One key has one backend, so all requests of a rule must go to one pool, from which the planner selects it.
TEST(AffinityFile, RuleOverTwoPoolsIsRefused) {
  std::string two = kSite;
  for (const char* const route : {"route shop { ", "route desk { "}) {
    two.insert(two.find(route) + std::string(route).size(), route[6] == 's' ? "pool main; " : "pool two; ");
  }
  two += "pool two { box b { dial 127.0.0.1:9002 } }\n";
  EXPECT_EQ(loaded("affinity a { when \"route = desk\"; key tenant }", two).shared->affinity[0].pool, "two");
  try {
    loaded("affinity a { key tenant }", two);
    FAIL();
  } catch (const FieldError& error) {
    EXPECT_EQ(std::string(error.what()).find("a.shore:11: error: affinity a: it takes requests of the pools"),
              0U)
        << error.what();
  }
}

std::string explained(const std::string& rules, const std::string& request,
                      std::vector<std::string> headers) {
  std::ostringstream out;
  EXPECT_TRUE(explain(loaded(rules), request, headers, out));
  const std::string all = out.str();
  const std::size_t at = all.find("affinity");
  return at == std::string::npos ? "" : all.substr(at);
}

TEST(AffinityFile, ExplainsTheRuleOfARequest) {
  const std::string rules =
      "affinity a { when \"plan = gold and class = check and not header X-Test\"; key parameter id; must yes "
      "}\n"
      "affinity b { when \"plan = free\"; key header X-Basket; to zone }";
  EXPECT_EQ(explained(rules, "GET h.org/baskets/77", {"X-Tenant-Id: acme"}),
            "affinity a (a.shore:10): by parameter {id} \"77\", slot 885 of 1024: only to the box that has "
            "it in the "
            "plan\nwhile the slot moves: it waits 1000 ms at most, then it is refused; without a plan in "
            "force it is "
            "refused\n");
  EXPECT_EQ(explained(rules, "GET h.org/baskets/77", {"X-Tenant-Id: acme", "X-Test: 1"}),
            "affinity: no rule takes it\n");
  EXPECT_EQ(explained(rules, "GET h.org/baskets/77", {}),
            "affinity b (a.shore:11): by header x-basket, which it has not: it goes as without the rule\n");
  EXPECT_EQ(explained("", "GET h.org/baskets/77", {}), "");
}

TEST(AffinityFile, DiffNamesTheChangedPartOfARule) {
  const auto changed = [](const std::string& before, const std::string& after) {
    std::vector<std::string> all;
    for (const ConfigDiff& one : differences(loaded(before), loaded(after))) all.push_back(one.what);
    return all;
  };
  using Words = std::vector<std::string>;
  const std::string rule = "affinity a { when \"class = check\"; key tenant; must yes }";
  EXPECT_EQ(changed(rule, "\n" + rule), Words());
  EXPECT_EQ(changed(rule, "affinity a { when \"class = check\"; key tenant; must yes; wait 2 s }"),
            Words{"affinity a: wait"});
  EXPECT_EQ(changed(rule, "affinity a { when \"class = check\"; key part 2; must yes }"),
            Words{"affinity a: keys"});
  EXPECT_EQ(changed(rule, "affinity a { when \"route = shop\"; key tenant; must yes }"),
            Words{"affinity a: when"});
}

}  // namespace
}  // namespace shorelead::node
