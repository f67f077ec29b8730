// Decisions by the owner of the slot and its status, and when requests in flight are cancelled. Table-driven.
#include "affinity/choice.h"

#include <gtest/gtest.h>

namespace shorelead::affinity {
namespace {

TEST(Choice, DecidesByPrecedence) {
  Rule rule;
  rule.must = true;
  const auto ask = [&rule](auto change) {
    Ask one{&rule, true, true, true, {7, true}, Standing::kReady, -1, 0};
    change(one);
    return choose(one);
  };
  struct Case {
    std::function<void(Ask&)> change;
    Decision must, prefer;
  };
  const auto late = [&rule](auto change) {
    return [&rule, change](Ask& a) {
      change(a);
      a.waited = rule.wait;
    };
  };
  const auto closed = [](Ask& a) { a.seat.open = false; };
  const std::vector<Case> table = {
      {[](Ask&) {}, {Go::kOnly, 7, Why::kKept}, {Go::kPrefer, 7, Why::kKept}},
      {[](Ask& a) { a.keyed = false; }, {Go::kFree, -1, Why::kNoKey}, {Go::kFree, -1, Why::kNoKey}},
      {[](Ask& a) { a.mapped = false; }, {Go::kRefuse, -1, Why::kNoMap}, {Go::kFree, -1, Why::kNoMap}},
      {[](Ask& a) { a.valid = false; }, {Go::kRefuse, -1, Why::kNotValid}, {Go::kFree, -1, Why::kNotValid}},
      {closed, {Go::kWait, -1, Why::kClosed}, {Go::kFree, -1, Why::kClosed}},
      {late(closed), {Go::kRefuse, -1, Why::kClosed}, {Go::kFree, -1, Why::kClosed}},
      {[](Ask& a) { a.seat.unit = -1; }, {Go::kWait, -1, Why::kUnknown}, {Go::kFree, -1, Why::kUnknown}},
      {[](Ask& a) { a.repeat_at = 3; }, {Go::kRefuse, -1, Why::kRepeat}, {Go::kFree, -1, Why::kRepeat}},
      {[](Ask& a) { a.repeat_at = 7; }, {Go::kOnly, 7, Why::kKept}, {Go::kPrefer, 7, Why::kKept}},
      {[](Ask& a) { a.standing = Standing::kDraining; },
       {Go::kWait, -1, Why::kDraining},
       {Go::kFree, -1, Why::kDraining}},
      {[](Ask& a) { a.standing = Standing::kFull; },
       {Go::kWait, -1, Why::kFull},
       {Go::kFree, -1, Why::kFull}},
      {[](Ask& a) { a.standing = Standing::kGone; },
       {Go::kWait, -1, Why::kGone},
       {Go::kFree, -1, Why::kGone}},
  };
  for (std::size_t n = 0; n < table.size(); ++n) {
    rule.must = true;
    EXPECT_EQ(ask(table[n].change), table[n].must) << n;
    rule.must = false;
    EXPECT_EQ(ask(table[n].change), table[n].prefer) << n;
  }
  rule.must = true;
  rule.on_loss = OnLoss::kRefuse;
  EXPECT_EQ(ask([](Ask& a) { a.standing = Standing::kGone; }), (Decision{Go::kRefuse, -1, Why::kGone}));
  WaitingRoom room(1);
  EXPECT_TRUE(room.enter());
  EXPECT_FALSE(room.enter());
  room.leave();
  EXPECT_TRUE(room.enter());
}

TEST(Choice, CancelsRequestsOfClosedSlots) {
  Rule rule;
  rule.must = true;
  rule.finish = 100;
  EXPECT_EQ(closing(rule, {0, 0, false, true}), Closing::kQuiet);
  EXPECT_EQ(closing(rule, {1, 99, true, true}), Closing::kUnderWay);
  EXPECT_EQ(closing(rule, {1, 100, true, true}), Closing::kCallOff);
  EXPECT_EQ(closing(rule, {1, 0, false, false}), Closing::kCallOff);
  rule.on_drain = OnDrain::kMove;
  EXPECT_EQ(closing(rule, {1, 0, true, true}), Closing::kCallOff);
  EXPECT_EQ(closing(rule, {1, 0, false, true}), Closing::kUnderWay);
  rule.must = false;
  EXPECT_EQ(closing(rule, {1, 100, true, true}), Closing::kQuiet);
}

}  // namespace
}  // namespace shorelead::affinity
