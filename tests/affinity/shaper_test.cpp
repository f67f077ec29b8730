// Slot maps in the plan, from the backends and records that planners read.
#include "affinity/shaper.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace shorelead::affinity {
namespace {

Rule a_rule() {
  Rule rule;
  rule.name = "keys";
  rule.must = true;
  rule.slots = 256;
  return rule;
}

std::vector<BackendStatus> backends_of(int count) {
  std::vector<BackendStatus> backends;
  for (int n = 0; n < count; ++n) backends.push_back({"box-" + std::to_string(n), "", "", 1, 1, false});
  return backends;
}

// One planner, and processes that put each plan in force immediately.
struct Fleet {
  explicit Fleet(Rule r, ShaperOptions options = {}) : rule(std::move(r)), shaper({rule}, options) {}
  Rule rule;
  Shaper shaper;
  fleet::Plan plan;  // epoch 0: none
  std::vector<fleet::Record> records{2};
  Millis now = 0;

  fleet::Plan next() {
    fleet::Plan one = plan;
    ++one.epoch;
    shaper.shape(one, plan.epoch == 0 ? nullptr : &plan, records, now);
    return one;
  }
  bool step() {
    fleet::Plan one = next();
    if (plan.epoch > 0 && one.affinity == plan.affinity) return false;
    plan = std::move(one);
    for (fleet::Record& record : records) record.epoch = plan.epoch;
    return true;
  }
  void settle(const std::vector<BackendStatus>& backends) {
    shaper.set_backends(backends);
    for (int n = 0; n < 100 && step(); ++n) {
    }
  }
  const std::vector<fleet::Slot>& slots() { return plan.affinity.at(map_name(rule)).slots; }
  std::vector<std::string> owners() {
    std::vector<std::string> all;
    for (const fleet::Slot& slot : slots()) all.push_back(slot.open ? slot.backend : "");
    return all;
  }
  int has(const std::string& backend) {
    const auto all = owners();
    return static_cast<int>(std::count(all.begin(), all.end(), backend));
  }
};

// All planners write the same maps whatever the order of their lists, and joining or leaving processes move
// nothing.
RC_GTEST_PROP(Shaper, AllPlannersWriteTheSameMaps, ()) {
  std::vector<BackendStatus> backends = backends_of(*rc::gen::inRange(1, 12));
  for (BackendStatus& backend : backends) backend.weight = *rc::gen::inRange(1, 5);
  Fleet one(a_rule());
  one.settle(backends);
  const auto before = one.owners();
  RC_ASSERT(std::count(before.begin(), before.end(), "") == 0);
  std::reverse(backends.begin(), backends.end());
  Fleet other(a_rule());
  other.settle(backends);
  RC_ASSERT(other.owners() == before);
  one.records.resize(*rc::gen::inRange<std::size_t>(0, 6));
  one.shaper = Shaper({one.rule}, {});  // another process plans
  one.settle(backends);
  RC_ASSERT(one.owners() == before);
}

// When the slots of a backend that is no longer listed begin to move: at once, after the hold, or after
// `unknown_for` if this planner has never seen the backend.
TEST(Shaper, SlotsOfALostBackendMoveAfterTheirDelay) {
  struct Case {
    OnLoss on_loss;
    bool seen;
    Millis moves_at;
  };
  for (const Case& c : {Case{OnLoss::kMove, true, 0}, Case{OnLoss::kRefuse, true, 5000},
                        Case{OnLoss::kMove, false, 2000}, Case{OnLoss::kRefuse, false, 5000}}) {
    Rule rule = a_rule();
    rule.on_loss = c.on_loss;
    rule.hold = 5000;
    Fleet fleet(rule, {2000, 64});
    fleet.settle(backends_of(4));
    const auto before = fleet.owners();
    if (!c.seen) fleet.shaper = Shaper({rule}, {2000, 64});
    for (; fleet.now <= 6000; fleet.now += 500) {
      fleet.settle(backends_of(3));
      EXPECT_EQ(fleet.has("box-3") > 0, fleet.now < c.moves_at) << c.moves_at << " at " << fleet.now;
    }
    for (std::size_t n = 0; n < before.size(); ++n) {
      EXPECT_TRUE(before[n] == "box-3" || fleet.owners()[n] == before[n]);
    }
  }
}

TEST(Shaper, ColdBackendGetsItsSlotsInSteps) {
  Fleet fleet(a_rule(), {2000, 8});
  fleet.settle(backends_of(4));
  std::vector<BackendStatus> backends = backends_of(5);
  int before = 0;
  for (const double warm : {0.05, 0.3, 0.6, 1.0}) {
    backends[4].warm = warm;
    fleet.shaper.set_backends(backends);
    for (int n = 0; n < 200 && fleet.step(); ++n) {
      const auto all = fleet.owners();
      EXPECT_LE(std::count(all.begin(), all.end(), ""), 8);
    }
    const double part = 256 * warm_step(warm) / (4 + warm_step(warm));
    EXPECT_LE(fleet.has("box-4"), kMaxTaken * part) << warm;
    EXPECT_GT(fleet.has("box-4"), before) << warm;
    before = fleet.has("box-4");
  }
}

// A rule whose repeats are dropped only by the old cell or zone: a slot stays closed for the whole
// deduplication window, and moves only if it has to.
TEST(Shaper, MovedSlotStaysClosedForTheDeduplicationWindow) {
  Rule rule = a_rule();
  rule.dedup_window = 3000;
  Fleet fleet(rule);
  fleet.settle(backends_of(4));
  std::vector<BackendStatus> backends = backends_of(5);
  fleet.settle(backends);
  EXPECT_EQ(fleet.has("box-4") + fleet.has(""), 0);
  backends[0].draining = true;
  for (fleet.now = 100; fleet.now <= 3100; fleet.now += 500) {
    fleet.settle(backends);
    EXPECT_EQ(fleet.has("box-0"), 0);
    EXPECT_EQ(fleet.has("") > 0, fleet.now < 3100) << fleet.now;
  }
}

TEST(Shaper, EpochOfALostHistoryOpensNothing) {
  Fleet fleet(a_rule());
  fleet.shaper.set_backends(backends_of(3));
  fleet.records[0].epoch = 50;  // of a plan that the store has lost
  for (int n = 0; n < 5; ++n) {
    fleet.plan = fleet.next();
    EXPECT_EQ(fleet.has(""), 256);
  }
  fleet.records.erase(fleet.records.begin());
  fleet.settle(backends_of(3));
  EXPECT_EQ(fleet.has(""), 0);
}

TEST(Shaper, ResizingKeepsTheOwnersOfSlots) {
  Fleet fleet(a_rule());
  fleet.settle(backends_of(4));
  const fleet::SlotMap& map = fleet.plan.affinity.begin()->second;
  const fleet::SlotMap doubled = resized(map, 512, 9);
  for (std::size_t n = 0; n < 512; ++n) EXPECT_EQ(doubled.slots[n], map.slots[n / 2]);
  EXPECT_EQ(resized(doubled, 256, 9), map);
  const fleet::SlotMap halved = resized(map, 128, 9);
  for (std::size_t n = 0; n < 128; ++n) {
    const bool same = map.slots[2 * n].backend == map.slots[2 * n + 1].backend;
    EXPECT_EQ(halved.slots[n].open, same);
    EXPECT_TRUE(same || halved.slots[n].since == 9);
  }
}

TEST(Shaper, MapOfAnotherConfigurationVersionIsKeptForAWhile) {
  Fleet fleet(a_rule(), {2000, 64});
  fleet.settle(backends_of(4));
  Rule other = a_rule();
  other.key.part = 2;
  fleet.shaper.set_rules({other});
  EXPECT_EQ(fleet.next().affinity.size(), 2u);
  fleet.now = 2000;
  EXPECT_EQ(fleet.next().affinity.size(), 1u);
}

}  // namespace
}  // namespace shorelead::affinity
