// What nodes are to keep: each its own rules, and all of them together (budgets, order of shedding, one box a
// key).
#include "lab/experiment_parts.h"

namespace shorelead::lab {
namespace {

Scope read_scope(Reader& in, const Experiment& experiment) {
  Scope scope;
  std::vector<std::string> classes;
  for (const ClassSpec& spec : experiment.classes) classes.push_back(spec.rules.name);
  std::vector<std::string> tenants;
  for (const TenantSpec& tenant : experiment.tenants) tenants.push_back(tenant.name);
  std::vector<std::string> pools;
  for (const PoolSpec& pool : experiment.fleet.pools) pools.push_back(pool.name);
  if (in.has("classes")) {
    for (const std::string& name : in.texts("classes")) {
      scope.classes.push_back(static_cast<int>(in.one_of("classes", name, classes)));
    }
  }
  if (in.has("tenants")) {
    scope.tenants = in.texts("tenants");
    for (const std::string& name : scope.tenants) in.one_of("tenants", name, tenants);
  }
  if (in.has("pool")) scope.pool = static_cast<int>(in.one_of("pool", in.text("pool"), pools));
  return scope;
}

BudgetRule read_budget(Reader& in, const Experiment& experiment) {
  static const std::array<std::string, 3> kKinds{"rate", "at_once", "attempts"};
  BudgetRule rule;
  rule.name = in.text("name");
  rule.kind = static_cast<Spending>(in.word("kind", kKinds));
  in.need("whole");
  in.number("whole", rule.whole, 0, 1e9);
  in.number("burst", rule.burst, 0, 1e9);
  in.number("ratio", rule.ratio, 0, 100);
  in.time("window", rule.window, false);
  if (in.has("burst") && rule.kind != Spending::kRate) in.bad("burst", "only a rate has a \"burst\"");
  if (in.has("ratio") && rule.kind != Spending::kAttempts) in.bad("ratio", "only attempts have a \"ratio\"");
  if ((rule.window > 0) != (rule.kind == Spending::kAttempts)) {
    in.bad("window", "attempts are counted in a \"window\", and nothing else is");
  }
  rule.scope = read_scope(in, experiment);
  in.finish();
  return rule;
}

RankRule read_rank(Reader& in, const Experiment& experiment) {
  RankRule rule;
  in.need("rank");
  in.whole("rank", rule.rank, 0, 1000000);
  in.share("floor", rule.floor);
  rule.scope = read_scope(in, experiment);
  in.finish();
  return rule;
}

KeyRule read_key(Reader& in, const Experiment& experiment) {
  static const std::array<std::string, 2> kStrengths{"must", "prefer"};
  static const std::array<std::string, 2> kKeys{"basket", "tenant"};
  static const std::array<std::string, 3> kUnits{"box", "cell", "zone"};
  KeyRule rule;
  rule.name = in.text("name");
  if (in.has("strength")) rule.must = in.word("strength", kStrengths) == 0;
  if (in.has("key")) rule.tenant = in.word("key", kKeys) == 1;
  if (in.has("to")) rule.to = static_cast<Unit>(in.word("to", kUnits));
  if (rule.tenant ? experiment.tenants.empty() : experiment.clients.baskets == 0) {
    in.bad_here(rule.tenant ? "there is no [[tenant]]" : "[clients] has no \"baskets\"");
  }
  in.time("back_after", rule.back_after);
  rule.scope = read_scope(in, experiment);
  in.finish();
  return rule;
}

}  // namespace

void read_rules(Reader& in, Rules& rules) {
  in.whole("most_attempts", rules.most_attempts, 1, 5);
  in.flag("parallel", rules.parallel);
  in.flag("cancel", rules.cancel);
  in.flag("retry_after", rules.retry_after);
  in.time("drain_grace", rules.drain_grace);
  in.time("connect_timeout", rules.connect_timeout, false);
  in.finish();
}

FleetRules read_together(Reader& in, const Experiment& experiment) {
  FleetRules rules;
  for (Reader& item : in.tables("budget")) rules.budgets.push_back(read_budget(item, experiment));
  for (Reader& item : in.tables("rank")) rules.ranks.push_back(read_rank(item, experiment));
  for (Reader& item : in.tables("affinity")) rules.keys.push_back(read_key(item, experiment));
  return rules;
}

}  // namespace shorelead::lab
