// Compares the compiled table with a scan of all rules.
#include "routing/table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace shorelead::routing {
namespace {

// The matching rule with the highest precedence.
std::optional<std::size_t> by_scan(const std::vector<Rule>& rules, const Request& request) {
  std::optional<std::size_t> best;
  for (std::size_t n = 0; n < rules.size(); ++n) {
    if (matches(rules[n], request) && (!best || goes_before(rules[n], rules[*best]))) best = n;
  }
  return best;
}

std::string gen_path(bool pattern) {
  std::string path;
  const int segments = *rc::gen::inRange(1, 5);
  for (int n = 0; n < segments; ++n) {
    path += "/";
    path += pattern ? *rc::gen::element<std::string>("a", "b", "{id}", "{x}", "")
                    : *rc::gen::element<std::string>("a", "b", "c", "");
  }
  if (pattern && *rc::gen::inRange(0, 3) == 0) path += "/*";
  return path;
}

RC_GTEST_PROP(Table, FindsTheSameRuleAsAScan, ()) {
  std::vector<Rule> rules;
  for (int n = *rc::gen::inRange(0, 12); n > 0; --n) {
    Rule rule;
    rule.host = *rc::gen::element<std::string>("", "", "a.org", "*.a.org", "*.org", "B.a.org");
    rule.path = gen_path(true);
    if (*rc::gen::inRange(0, 3) == 0) rule.methods = {*rc::gen::element<std::string>("GET", "POST")};
    if (*rc::gen::inRange(0, 4) == 0) rule.fields = {{"x-v", *rc::gen::element<std::string>("1", "2")}};
    rules.push_back(rule);
  }
  std::vector<Refusal> refusals;
  const Table table = Table::compile(rules, refusals);
  RC_PRE(refusals.empty());
  for (int n = 0; n < 20; ++n) {
    const std::string host =
        *rc::gen::element<std::string>("", "a.org", "b.a.org:80", "x.b.A.org", "org", "c.org");
    const std::string path = gen_path(false) + *rc::gen::element<std::string>("", "?q=/z");
    const std::string value = *rc::gen::element<std::string>("", "1", "2");
    const std::function<std::string_view(std::string_view)> field = [&](std::string_view name) {
      return name == "x-v" ? std::string_view(value) : std::string_view();
    };
    const Request request{host, path, *rc::gen::element<std::string_view>("GET", "POST", "PUT"), &field};
    RC_LOG() << host << " " << path << "\n";
    RC_ASSERT(table.find(request) == by_scan(rules, request));
  }
}

TEST(Table, Precedence) {
  const std::vector<Rule> rules = {
      {"", "/*", {}, {}, 0},        {"", "/a/*", {}, {}, 0},      {"", "/a/{id}", {}, {}, 0},
      {"", "/a/b", {}, {}, 0},      {"", "/a/b", {"GET"}, {}, 0}, {"", "/a/b", {"GET"}, {{"x-v", "2"}}, 0},
      {"*.x.org", "/*", {}, {}, 0}, {"*.org", "/a/b", {}, {}, 0}, {"n.x.org", "/q", {}, {}, 0},
  };
  std::vector<Refusal> refusals;
  const Table table = Table::compile(rules, refusals);
  ASSERT_TRUE(refusals.empty());
  const std::function<std::string_view(std::string_view)> two = [](std::string_view) { return "2"; };
  const std::function<std::string_view(std::string_view)> none = [](std::string_view) { return ""; };
  const std::tuple<const char*, const char*, const char*, bool, int> cases[] = {
      {"h", "/", "GET", false, 0},         {"h", "/z/y", "GET", false, 0},
      {"h", "/a", "GET", false, 0},        {"h", "/a/c/d", "GET", false, 1},
      {"h", "/a/c", "GET", false, 2},      {"h", "/a/b", "PUT", false, 3},
      {"h", "/a/b", "GET", false, 4},      {"h", "/a/b?x", "GET", true, 5},
      {"m.x.org", "/a/b", "GET", true, 6}, {"N.X.ORG:81", "/q", "GET", false, 8},
      {"n.x.org", "/r", "GET", false, 6},  {"y.org", "/a/b", "GET", false, 7},
      {"y.org", "/a/c", "GET", false, 2},
  };
  for (const auto& [host, path, method, with, rule] : cases) {
    EXPECT_EQ(table.find({host, path, method, with ? &two : &none}), static_cast<std::size_t>(rule))
        << host << path;
  }
}

TEST(Table, ReportsEachRejectedRule) {
  const std::vector<Rule> rules = {
      {"", "a", {}, {}, 0},
      {"", "/a*", {}, {}, 0},
      {"", "/*/a", {}, {}, 0},
      {"", "/{", {}, {}, 0},
      {"*", "/", {}, {}, 0},
      {"a.*.b", "/", {}, {}, 0},
      {"", "/a?b", {}, {}, 0},
      {"", "/x/{a}", {}, {}, 0},
      {"", "/x/{b}", {}, {}, 0},
      {"", "/m", {"GET"}, {}, 0},
      {"", "/m", {"PUT", "GET"}, {}, 0},
  };
  std::vector<Refusal> refusals;
  Table::compile(rules, refusals);
  std::vector<std::size_t> refused;
  for (const Refusal& r : refusals) refused.push_back(r.rule);
  EXPECT_EQ(refused, (std::vector<std::size_t>{0, 1, 2, 3, 4, 5, 6, 8, 10}));
  EXPECT_EQ(refusals[7].other, 7U);
  EXPECT_EQ(refusals[8].other, 9U);
}

}  // namespace
}  // namespace shorelead::routing
