// A fleet's shared limits as used by a node: which budgets apply to a request, and how the decision module
// keeps within the retry budget.
#include <gtest/gtest.h>

#include "node/fleet_rules.h"
#include "node/language_binding.h"
#include "node/policy_host.h"

namespace shorelead::node {
namespace {

Config config_of(const std::string& text) {
  language::Reader reader;
  reader.read = [&text](const std::string&) { return std::optional(text); };
  reader.glob = [](const std::string& path) { return std::vector{path}; };
  return load_shore("t.shore", {}, reader);
}

const char* const kText =
    "node n { listen 127.0.0.1:8081; seed 1f }\n"
    "class look { effect safe; aim 100 ms; give_up 1 s }\n"
    "class pay { effect unsafe; aim 100 ms; give_up 3 s; worth 5 }\n"
    "pool main { box a { dial 127.0.0.1:9001 } }\n"
    "pool spare { box b { dial 127.0.0.1:9002 } }\n"
    "route r1 { path /look/*; class look; pool main }\n"
    "route r2 { path /pay/*; class pay; pool spare }\n"
    "fleet { store 127.0.0.1:2379; prefix \"/fleet/\"; processes 20 }\n"
    "budget all { kind rate; rate 200 rps; burst 20 }\n"
    "budget acme { kind at_once; most 40; tenant acme }\n"
    "budget acme_pays { kind at_once; most 40; tenant acme; class pay }\n"
    "budget main_again { kind attempts; few 50; window 10 s; pool main }\n"
    "budget by_route { kind at_once; most 40; route r2 }\n";

TEST(FleetRules, EveryBudgetWhoseScopeIncludesTheRequestAppliesNarrowestFirst) {
  const Config config = config_of(kText);
  ASSERT_TRUE(config.shared);
  const FleetConfig& fleet = *config.shared;
  const FleetRules rules(fleet, config);
  const auto names = [&](int pool, int route, int request_class, std::string_view tenant) {
    const std::uint64_t mask = rules.budgets_of(pool, route, request_class, tenant);
    std::string all;
    for (std::size_t b = 0; b < fleet.budgets.size(); ++b) {
      if ((mask >> b & 1) != 0) all.append(all.empty() ? "" : " ").append(fleet.budgets[b].name);
    }
    return all;
  };
  EXPECT_EQ(names(0, 0, 0, ""), "main_again all");
  EXPECT_EQ(names(0, 0, 0, "acme"), "acme main_again all");
  EXPECT_EQ(names(0, 0, 0, "acm"), "main_again all");
  EXPECT_EQ(names(1, 1, 1, "acme"), "acme_pays acme by_route all");
  EXPECT_EQ(names(1, 1, 1, "bob"), "by_route all");
  EXPECT_EQ(names(0, -1, 1, ""), "main_again all") << "without routes";
  EXPECT_NE(rules.attempts_of(0), 0U);
  EXPECT_EQ(rules.attempts_of(1), 0U);
  for (const fleet::Budget& budget : fleet.budgets) {
    const bool at_once = budget.kind == fleet::BudgetKind::kAtOnce;
    EXPECT_EQ(budget.hold, at_once ? 3000 : 0) << budget.name << ": the longest wait among its classes";
  }
}

const char* const kList = R"({"seq":1,"whole":true,"hosts":[
  {"host":"s-1","dial":"127.0.0.1:9001","health":"ready","site":"a"},
  {"host":"s-2","dial":"127.0.0.1:9002","health":"ready","site":"a"},
  {"host":"s-3","dial":"127.0.0.1:9003","health":"ready","site":"a"},
  {"host":"s-4","dial":"127.0.0.1:9004","health":"ready","site":"a"}]})";

// The module retries as long as the fleet's budget allows, also counting what it uses within one event, and
// reports a retry that was wanted when nothing is left.
TEST(FleetPolicyHost, RetriesKeepWithinTheFleetsBudget) {
  Settings s;
  RequestClass c;
  c.effect = Effect::kSafe;
  c.aim = 400;
  c.deadline = 1000;
  s.classes = {c};
  s.probing = false;
  s.max_attempts = 3;
  HostSettings host;
  host.zones = {"a"};
  const List list = read_list(kList);
  for (const double most : {0.0, 2.0, 100.0}) {
    PolicyHost policy_host(s, host, 1);
    Millis now = 1.7e12;
    policy_host.start(list, now);
    double left = most;
    int made = 0;
    int wanted = 0;
    policy_host.set_retry_allowance({[&] { return left; },
                                     [&] {
                                       ++(left >= 1 ? made : wanted);
                                       left -= left >= 1 ? 1 : 0;
                                     }},
                                    now);
    int sent_again = 0;
    for (RequestId id = 1; id <= 4; ++id) {
      now += 50;
      Choice choice = policy_host.pick(id, {0, 0, now + 1000, -1, false}, now);
      while (choice.kind == Choice::Kind::kSend) {
        sent_again += choice.attempt > 0;
        choice = policy_host.report(id, choice.attempt, Ending::kRefused, 1, nullptr, now);
      }
    }
    EXPECT_EQ(sent_again, made);
    EXPECT_EQ(made, most < 4 ? most : 8) << "two further for each of four";
    EXPECT_EQ(wanted > 0, most < 4);
    // Without an allowance only the module's own bound applies.
    policy_host.set_retry_allowance({}, now);
    Choice choice = policy_host.pick(9, {0, 0, now + 1000, -1, false}, now);
    choice = policy_host.report(9, choice.attempt, Ending::kRefused, 1, nullptr, now);
    EXPECT_EQ(choice.kind, Choice::Kind::kSend);
  }
}

}  // namespace
}  // namespace shorelead::node
