// One planner by example: when it must not write a plan, and what it must not raise.
#include "fleet/planner.h"

#include <gtest/gtest.h>

namespace shorelead::fleet {
namespace {

constexpr Header kHere{1, 100};

Sharing sharing() {
  Sharing sharing;
  sharing.most_processes = 4;
  sharing.lease = 3000;
  sharing.plan_every = 300;
  return sharing;
}

Budget units() {
  Budget budget;
  budget.name = "units";
  budget.kind = BudgetKind::kAtOnce;
  budget.whole = 10;
  budget.hold = 500;
  budget.reserve = 0;
  return budget;
}

struct OneSlot : PlanShaper {
  void shape(Plan& next, const Plan*, const std::vector<Record>&, Millis) override {
    next.affinity["rule"].slots = {{"b", true, "", 0}};
  }
};

Record record(const std::string& name, std::uint64_t epoch, double has, double asks) {
  Record record;
  record.id = {name, 1};
  record.epoch = epoch;
  if (has > 0) record.in_force["units"].amount = has;
  record.demand["units"] = record.spent["units"] = asks;
  return record;
}

// An elected planner, and the last of its calls.
struct PlannerDriver {
  Planner planner{"a", sharing(), {units()}, {std::make_shared<OneSlot>()}, 3};
  Millis now = 0;
  std::optional<Campaign> campaign;
  std::optional<ReadAll> read;
  std::optional<PutPlan> put;
  std::optional<Resign> resign;

  void send(const PlannerEvent& event) {
    for (const PlannerCall& call : planner.handle(event, now).calls) {
      if (const auto* it = std::get_if<Campaign>(&call)) campaign = *it;
      if (const auto* it = std::get_if<ReadAll>(&call)) read = *it;
      if (const auto* it = std::get_if<PutPlan>(&call)) put = *it;
      if (const auto* it = std::get_if<Resign>(&call)) resign = *it;
    }
  }
  // Answers the next read, `after` ms later, with the given plan and records.
  void show(Millis after, const std::optional<Plan>& plan, std::vector<Record> records, bool newer = false,
            std::size_t unreadable = 0) {
    if (put) send(PlanPut{std::exchange(put, std::nullopt)->call, true, kHere});
    now += after;
    send(PlannerTick{});
    ASSERT_TRUE(read.has_value());
    AllRead answer{read->call, 50, plan, 60, newer, std::move(records), unreadable, kHere};
    read.reset();
    send(answer);
  }

  PlannerDriver() {
    send(LeaseValid{5, 1e6});
    now = 400;
    send(PlannerTick{});
    send(CampaignResult{campaign->call, 50, campaign->value, kHere});
    EXPECT_TRUE(planner.elected());
  }
};

Plan standing(std::uint64_t epoch, double a, double b) {
  Plan plan;
  plan.epoch = epoch;
  plan.fence = 50;
  plan.history = 1;
  plan.wholes["units"] = {10, 0};
  plan.shares["a#1"]["units"].amount = a;
  plan.shares["b#1"]["units"].amount = b;
  plan.affinity["rule"].slots = {{"b", true, "", 0}};
  return plan;
}

double sum(const Plan& plan) {
  double sum = 0;
  for (const auto& [id, parts] : plan.shares) {
    for (const auto& [name, part] : parts) sum += part.amount;
  }
  return sum;
}

TEST(Planner, RaisesOnlyAfterAWholeLeaseOfOneHistory) {
  PlannerDriver driver;
  const std::vector<Record> records = {record("a", 1, 1, 9), record("b", 1, 1, 9)};
  driver.show(0, standing(1, 1, 1), records);
  EXPECT_TRUE(!driver.put || sum(driver.put->plan) <= 2);
  driver.show(3600, standing(1, 1, 1), records);
  ASSERT_TRUE(driver.put.has_value());
  EXPECT_GT(sum(driver.put->plan), 2);
  EXPECT_EQ(driver.put->fence, 50u);
  EXPECT_EQ(driver.put->modified, 60u);
}

TEST(Planner, UnreadableRecordPreventsRaising) {
  PlannerDriver driver;
  const std::vector<Record> records = {record("a", 1, 1, 9), record("b", 1, 1, 9)};
  driver.show(0, standing(1, 1, 1), records);
  driver.show(3600, standing(1, 1, 1), records, false, 1);
  EXPECT_TRUE(!driver.put || sum(driver.put->plan) <= 2);
}

TEST(Planner, PlanOfANewerFormatIsNotOverwritten) {
  PlannerDriver driver;
  driver.show(3600, std::nullopt, {record("a", 1, 1, 9)}, true);
  EXPECT_FALSE(driver.put.has_value());
  EXPECT_FALSE(driver.planner.elected());
  ASSERT_TRUE(driver.resign.has_value());
  EXPECT_EQ(driver.resign->fence, 50u);
  driver.send(Resigned{driver.resign->call, kHere});
  driver.campaign.reset();
  driver.now += 3500;
  driver.send(PlannerSeen{0});
  EXPECT_FALSE(driver.campaign.has_value());
}

TEST(Planner, MalformedPlanIsOverwrittenAfterALeaseAboveAllEpochs) {
  PlannerDriver driver;
  const std::vector<Record> records = {record("a", 7, 4, 9), record("b", 6, 6, 9)};
  driver.show(0, std::nullopt, records);
  EXPECT_FALSE(driver.put.has_value());
  driver.show(2900, std::nullopt, records);
  EXPECT_FALSE(driver.put.has_value());
  driver.show(700, std::nullopt, records);
  ASSERT_TRUE(driver.put.has_value());
  EXPECT_EQ(driver.put->plan.epoch, 8u);
  EXPECT_LE(sum(driver.put->plan), 10);
  EXPECT_FALSE(driver.put->plan.affinity.at("rule").slots[0].open) << "somebody may have it elsewhere";
}

TEST(Planner, DepartedMemberCountsWhileItsRequestsMayLast) {
  PlannerDriver driver;
  driver.show(0, standing(1, 4, 6), {record("a", 1, 4, 9), record("b", 1, 6, 9)});
  driver.show(3600, standing(1, 4, 6), {record("a", 1, 4, 9)});
  EXPECT_TRUE(!driver.put || driver.put->plan.shares.at("a#1").at("units").amount <= 4);
  driver.show(600, standing(1, 4, 6), {record("a", 1, 4, 9)});
  ASSERT_TRUE(driver.put.has_value());
  EXPECT_GT(driver.put->plan.shares.at("a#1").at("units").amount, 4);
}

TEST(Planner, ResignsWhenItsLeaseExpiresOrAnotherIsElected) {
  PlannerDriver driver;
  driver.send(LeaseValid{5, 2900});
  driver.now = 2950;
  driver.send(PlannerTick{});
  EXPECT_FALSE(driver.planner.elected());
  PlannerDriver other;
  other.send(AllRead{other.read->call, 51, standing(1, 1, 1), 60, false, {}, 0, kHere});
  EXPECT_FALSE(other.planner.elected());
  EXPECT_FALSE(other.put.has_value());
}

}  // namespace
}  // namespace shorelead::fleet
