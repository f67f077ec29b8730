// F1 on records written by hand: each breach beside its nearest harmless neighbour; and a whole that is kept,
// whatever holds requests up.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <functional>

#include "lab/audit.h"
#include "lab/fleet_records.h"
#include "lab/records_io.h"

namespace shorelead::lab {
namespace {

BudgetRule rate(double whole, double burst) {
  BudgetRule rule;
  rule.name = "rate";
  rule.whole = whole;
  rule.burst = burst;
  rule.scope.classes = {kCheck};
  return rule;
}
BudgetRule at_once(double whole) {
  BudgetRule rule = rate(whole, 0);
  rule.kind = Spending::kAtOnce;
  return rule;
}
BudgetRule further(double few, double ratio, Millis window) {
  BudgetRule rule = rate(few, 0);
  rule.kind = Spending::kAttempts;
  rule.ratio = ratio;
  rule.window = window;
  return rule;
}

// Two of burst at 1000, then one each 100 ms by three processes in turn: just 10 a second and 2.
void just_within(Run& run) {
  run.fleet.budgets = {rate(10, 2)};
  ask(run, 1000, 0, 0);
  for (int n = 0; n < 20; ++n) ask(run, 1000 + 100 * n, n % 3, 0);
}

struct Case {
  const char* name;
  std::function<void(Run&)> make;
  std::map<Breach, int> wanted;
};
void PrintTo(const Case& one, std::ostream* out) { *out << one.name; }

class BudgetAuditing : public testing::TestWithParam<Case> {};

TEST_P(BudgetAuditing, FindsJustThat) {
  lab::Run run = empty_run();
  GetParam().make(run);
  const Audit result = audit(run, AuditLimits());
  EXPECT_EQ(result.counts, GetParam().wanted);
  EXPECT_EQ(audit(records_from_json(records_to_json(run)), AuditLimits()).counts, result.counts);
}

const std::vector<Case>& cases() {
  static const std::vector<Case> kCases{
      // F1: a rate
      {"just_within_the_rate", just_within, {}},
      {"one_more_by_any_process",
       [](Run& r) { just_within(r), ask(r, 2901, 1, 1); },
       {{Breach::kOverBudget, 1}}},
      {"one_more_of_another_class", [](Run& r) { just_within(r), ask(r, 2901, 1, 1, kLook); }, {}},
      {"one_more_and_refused", [](Run& r) { just_within(r), ask(r, 2901, 1, -1); }, {}},
      {"one_more_that_may_have_been_early",
       [](Run& r) { just_within(r), ask(r, 2901, 1, 1).intended = 900; },
       {}},
      {"one_more_out_of_a_pause",
       [](Run& r) { just_within(r), ask(r, 2901, 1, 1).intended = 900, pause(r, 1, 800, 2895); },
       {{Breach::kOverBudget, 1}}},
      {"one_more_a_little_later", [](Run& r) { just_within(r), ask(r, 3001, 1, 1); }, {}},
      // F1: so many at once
      {"three_at_once_of_two",
       [](Run& r) {
         r.fleet.budgets = {at_once(2)}, ask(r, 100, 0, 0), ask(r, 105, 1, 1), ask(r, 119, 2, 2);
       },
       {{Breach::kOverBudget, 1}}},
      {"the_third_when_the_first_is_out",
       [](Run& r) {
         r.fleet.budgets = {at_once(2)}, ask(r, 100, 0, 0), ask(r, 105, 1, 1), ask(r, 120, 2, 2);
       },
       {}},
      {"the_first_hidden_by_its_link",
       [](Run& r) {
         r.fleet.budgets = {at_once(2)};
         ask(r, 100, 0, 0), r.arrived.back().answered = 900, r.arrived.back().hidden = 160;
         r.asked.back().ended = 902;
         ask(r, 200, 1, 1), ask(r, 201, 2, 2);
       },
       {}},
      {"two_attempts_at_once_are_one_request",
       [](Run& r) {
         r.fleet.budgets = {at_once(2)}, r.parallel_allowed = true;
         ask(r, 100, 0, 0), ask(r, 105, 1, 1), r.arrived.push_back(r.arrived.back());
         r.arrived.back().serial = 9, r.arrived.back().box = 2, r.arrived.back().first_byte += 2;
       },
       {}},
      // F1: further attempts, 1 and a tenth of the requests within a second
      {"two_further_beside_ten",
       [](Run& r) {
         r.fleet.budgets = {further(1, 0.1, 1000)};
         for (int n = 0; n < 10; ++n) ask(r, 100 + 50 * n, n % 3, 0), n >= 8 ? again(r, 1) : void();
       },
       {}},
      {"three_further_beside_ten",
       [](Run& r) {
         r.fleet.budgets = {further(1, 0.1, 1000)};
         for (int n = 0; n < 10; ++n) ask(r, 100 + 50 * n, n % 3, 0), n >= 7 ? again(r, 1) : void();
       },
       {{Breach::kOverBudget, 1}}},
      {"three_further_over_two_windows",
       [](Run& r) {
         r.fleet.budgets = {further(1, 0.1, 400)};
         for (int n = 0; n < 30; ++n) ask(r, 100 + 50 * n, n % 3, 0), n % 10 == 9 ? again(r, 1) : void();
       },
       {}},
  };
  return kCases;
}

INSTANTIATE_TEST_SUITE_P(Cases, BudgetAuditing, testing::ValuesIn(cases()),
                         [](const auto& info) { return std::string(info.param.name); });

// A bucket that several processes share through one count, each request held up by any time before and after
// its unit was spent: never blamed. With nothing held up, one unit beyond is always found.
TEST(BudgetAudit, NeverBlamesAWholeThatWasKept) {
  const bool kept = rc::check("a whole that is kept", [] {
    lab::Run run = empty_run();
    const double whole = *rc::gen::inRange(5, 400);
    const double burst = *rc::gen::inRange(1, 30);
    const int held = *rc::gen::element(0, 5, 80, 900);
    run.fleet.budgets = {rate(whole, burst)};
    double tokens = burst;
    Millis last = 1000;
    for (int n = 0; n < 300; ++n) {
      const Millis now = last + *rc::gen::inRange(0, 40);
      tokens = std::min(burst, tokens + (now - last) * whole / 1000);
      last = now;
      if (tokens < 1) continue;
      tokens -= 1;
      ask(run, now, *rc::gen::inRange(0, 3), 0);
      run.asked.back().intended -= held == 0 ? 0 : *rc::gen::inRange(0, held);
      run.arrived.back().first_byte += held == 0 ? -1 : *rc::gen::inRange(0, held);
    }
    RC_ASSERT(audit(run, AuditLimits()).counts.count(Breach::kOverBudget) == 0U);
    if (held > 0) return;
    for (int n = 0; n <= static_cast<int>(tokens); ++n) ask(run, last, 0, 0), --run.arrived.back().first_byte;
    RC_ASSERT(audit(run, AuditLimits()).counts.count(Breach::kOverBudget) == 1U);
  });
  EXPECT_TRUE(kept);
}

}  // namespace
}  // namespace shorelead::lab
