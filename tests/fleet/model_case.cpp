#include "fleet/model_case.h"

namespace shorelead::fleet::model {

Sharing small_sharing(Millis longest) {
  Sharing sharing;
  sharing.prefix = "/f";
  sharing.most_processes = 6;
  sharing.lease = 3000;
  sharing.plan_every = 300;
  sharing.longest = longest;
  return sharing;
}

std::vector<Budget> small_budgets(Millis longest) {
  Budget rate;
  rate.name = "rate";
  rate.whole = 60;
  rate.burst = 20;
  rate.reserve = 0.1;
  Budget at_once;
  at_once.name = "at once";
  at_once.kind = BudgetKind::kAtOnce;
  at_once.whole = 12;
  at_once.hold = longest;
  at_once.reserve = 0;
  Budget attempts;
  attempts.name = "attempts";
  attempts.kind = BudgetKind::kAttempts;
  attempts.whole = 18;
  attempts.window = 900;
  attempts.reserve = 0.34;
  std::vector<Budget> budgets = {rate, at_once, attempts};
  for (Budget& budget : budgets) budget.most_part = 1;  // a single process can get everything
  return budgets;
}

}  // namespace shorelead::fleet::model
