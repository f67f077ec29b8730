// Decisions by the owner of the slot and its status, and when requests in flight are cancelled. Table-driven.
#include "affinity/choice.h"

#include <gtest/gtest.h>

namespace shorelead::affinity {
namespace {

TEST(Choice, DecidesByPrecedence) {
  Rule rule;
  rule.must = true;
  const auto decide = [&rule](auto change) {
    RoutingQuery one{&rule, true, true, true, {7, true}, UnitStatus::kReady, -1, 0};
    change(one);
    return choose(one);
  };
  struct Case {
    std::function<void(RoutingQuery&)> change;
    Decision must, prefer;
  };
  const auto waited_out = [&rule](auto change) {
    return [&rule, change](RoutingQuery& a) {
      change(a);
      a.waited = rule.wait;
    };
  };
  const auto closed = [](RoutingQuery& a) { a.owner.open = false; };
  const std::vector<Case> table = {
      {[](RoutingQuery&) {},
       {RoutingAction::kOnly, 7, RoutingReason::kKept},
       {RoutingAction::kPrefer, 7, RoutingReason::kKept}},
      {[](RoutingQuery& a) { a.keyed = false; },
       {RoutingAction::kFree, -1, RoutingReason::kNoKey},
       {RoutingAction::kFree, -1, RoutingReason::kNoKey}},
      {[](RoutingQuery& a) { a.mapped = false; },
       {RoutingAction::kRefuse, -1, RoutingReason::kNoMap},
       {RoutingAction::kFree, -1, RoutingReason::kNoMap}},
      {[](RoutingQuery& a) { a.valid = false; },
       {RoutingAction::kRefuse, -1, RoutingReason::kNotValid},
       {RoutingAction::kFree, -1, RoutingReason::kNotValid}},
      {closed,
       {RoutingAction::kWait, -1, RoutingReason::kClosed},
       {RoutingAction::kFree, -1, RoutingReason::kClosed}},
      {waited_out(closed),
       {RoutingAction::kRefuse, -1, RoutingReason::kClosed},
       {RoutingAction::kFree, -1, RoutingReason::kClosed}},
      {[](RoutingQuery& a) { a.owner.unit = -1; },
       {RoutingAction::kWait, -1, RoutingReason::kUnknown},
       {RoutingAction::kFree, -1, RoutingReason::kUnknown}},
      {[](RoutingQuery& a) { a.repeat_at = 3; },
       {RoutingAction::kRefuse, -1, RoutingReason::kRepeat},
       {RoutingAction::kFree, -1, RoutingReason::kRepeat}},
      {[](RoutingQuery& a) { a.repeat_at = 7; },
       {RoutingAction::kOnly, 7, RoutingReason::kKept},
       {RoutingAction::kPrefer, 7, RoutingReason::kKept}},
      {[](RoutingQuery& a) { a.status = UnitStatus::kDraining; },
       {RoutingAction::kWait, -1, RoutingReason::kDraining},
       {RoutingAction::kFree, -1, RoutingReason::kDraining}},
      {[](RoutingQuery& a) { a.status = UnitStatus::kFull; },
       {RoutingAction::kWait, -1, RoutingReason::kFull},
       {RoutingAction::kFree, -1, RoutingReason::kFull}},
      {[](RoutingQuery& a) { a.status = UnitStatus::kGone; },
       {RoutingAction::kWait, -1, RoutingReason::kGone},
       {RoutingAction::kFree, -1, RoutingReason::kGone}},
  };
  for (std::size_t n = 0; n < table.size(); ++n) {
    rule.must = true;
    EXPECT_EQ(decide(table[n].change), table[n].must) << n;
    rule.must = false;
    EXPECT_EQ(decide(table[n].change), table[n].prefer) << n;
  }
  rule.must = true;
  rule.on_loss = OnLoss::kRefuse;
  EXPECT_EQ(decide([](RoutingQuery& a) { a.status = UnitStatus::kGone; }),
            (Decision{RoutingAction::kRefuse, -1, RoutingReason::kGone}));
  WaitQueue queue(1);
  EXPECT_TRUE(queue.enter());
  EXPECT_FALSE(queue.enter());
  queue.leave();
  EXPECT_TRUE(queue.enter());
}

TEST(Choice, CancelsRequestsOfClosedSlots) {
  Rule rule;
  rule.must = true;
  rule.finish = 100;
  EXPECT_EQ(closing(rule, {0, 0, false, true}), Closing::kQuiet);
  EXPECT_EQ(closing(rule, {1, 99, true, true}), Closing::kInFlight);
  EXPECT_EQ(closing(rule, {1, 100, true, true}), Closing::kCancel);
  EXPECT_EQ(closing(rule, {1, 0, false, false}), Closing::kCancel);
  rule.on_drain = OnDrain::kMove;
  EXPECT_EQ(closing(rule, {1, 0, true, true}), Closing::kCancel);
  EXPECT_EQ(closing(rule, {1, 0, false, true}), Closing::kInFlight);
  rule.must = false;
  EXPECT_EQ(closing(rule, {1, 100, true, true}), Closing::kQuiet);
}

}  // namespace
}  // namespace shorelead::affinity
