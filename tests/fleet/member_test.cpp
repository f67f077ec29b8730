// One member by example: cases that the model's random histories reach too rarely to detect a missing check.
#include "fleet/member.h"

#include <gtest/gtest.h>

namespace shorelead::fleet {
namespace {

constexpr Header kHere{1, 100};

Sharing sharing() {
  Sharing sharing;
  sharing.most_processes = 2;
  sharing.lease = 3000;
  return sharing;
}

Budget at_once() {
  Budget budget;
  budget.name = "units";
  budget.kind = BudgetKind::kAtOnce;
  budget.whole = 10;
  budget.reserve = 0;
  return budget;
}

// A joined member, and the last of its calls and snapshots.
struct Talk {
  Member member{"a", "z", 1, sharing(), {at_once()}, 7};
  MemberOut out;
  Millis now = 0;
  std::shared_ptr<const Snapshot> snapshot = std::make_shared<const Snapshot>();
  std::optional<PutRecord> put;
  std::optional<RevokeLease> revoke;
  std::optional<RenewLease> renew;
  std::optional<GrantLease> grant;

  void tell(const MemberEvent& event) {
    out = member.handle(event, now);
    if (out.publish) snapshot = out.publish;
    for (const MemberCall& call : out.calls) {
      if (const auto* it = std::get_if<PutRecord>(&call)) put = *it;
      if (const auto* it = std::get_if<RevokeLease>(&call)) revoke = *it;
      if (const auto* it = std::get_if<RenewLease>(&call)) renew = *it;
      if (const auto* it = std::get_if<GrantLease>(&call)) grant = *it;
    }
  }
  void traffic(double in_use = 0) {
    TrafficState state;
    state.generation = snapshot->generation;
    state.in_use["units"] = in_use;
    tell(Traffic{state});
  }
  void done(std::uint64_t revision, const Header& header = kHere) {
    const std::uint64_t call = std::exchange(put, std::nullopt)->call;
    tell(RecordPut{call, true, revision, {}, 0, 0, header});
  }
  void see(std::uint64_t epoch, double units, std::uint64_t modified, const Header& header = kHere) {
    Plan plan;
    plan.epoch = epoch;
    plan.history = header.cluster;
    plan.wholes["units"] = {10, 0};
    plan.shares[MemberId{"a", member.incarnation()}.text()]["units"] = {units, 0};
    tell(PlanSeen{plan, modified, header, now});
  }
  double units() const {
    const auto it = snapshot->parts.find("units");
    return it == snapshot->parts.end() ? 0 : it->second.amount;
  }
  // Joins, with `units` in force at epoch 1.
  explicit Talk(double units) {
    tell(Tick{});
    tell(Granted{grant->call, 5, kHere});
    done(10);
    see(1, units, 11);
    EXPECT_EQ(put->plan_modified, 11u);
    EXPECT_EQ(this->units(), 0);
    done(12);
    EXPECT_EQ(this->units(), units);
    traffic();
  }
};

TEST(Member, RaisesOnlyAfterItsRecordIsWritten) {
  Talk talk(4);
  talk.now = 300;
  talk.see(2, 6, 20);
  EXPECT_EQ(talk.put->record.in_force.at("units").amount, 6);
  EXPECT_EQ(talk.units(), 4);
  talk.done(21);
  EXPECT_EQ(talk.units(), 6);
}

TEST(Member, RecordKeepsUnitsInUse) {
  Talk talk(6);
  talk.now = 300;
  talk.see(2, 1, 20);
  EXPECT_EQ(talk.units(), 1);
  EXPECT_FALSE(talk.put.has_value()) << "the traffic has not taken it over";
  talk.traffic(5);
  ASSERT_TRUE(talk.put.has_value());
  EXPECT_EQ(talk.put->record.in_force.at("units").amount, 5);
  EXPECT_EQ(talk.put->record.epoch, 2u);
  talk.done(21);
  talk.now = 600;
  talk.traffic(3);
  EXPECT_EQ(talk.put->record.in_force.at("units").amount, 3);
}

// An answer from another history does not count, even if all comparisons happened to hold there.
TEST(Member, AnswerOfAnotherHistoryEndsTheIncarnation) {
  Talk talk(4);
  talk.now = 300;
  talk.see(2, 6, 20);
  talk.done(21, {2, 21});
  EXPECT_EQ(talk.units(), 0);
  EXPECT_EQ(talk.out.incarnation, 0u);
  EXPECT_EQ(talk.out.valid_until, 0);
  EXPECT_EQ(talk.member.counters().histories, 1u);
}

TEST(Member, LateAnswerIsNotALostHistory) {
  Talk talk(4);
  const Millis begun = talk.now = 300;
  talk.now = 310;
  talk.tell(HeaderObserved{{1, 130}, 305});
  talk.now = 320;
  talk.tell(HeaderObserved{{1, 120}, begun});
  EXPECT_EQ(talk.member.counters().histories, 0u);
  talk.tell(HeaderObserved{{1, 120}, 315});
  EXPECT_EQ(talk.member.counters().histories, 1u);
}

// The call succeeded but its answer was lost: the retry finds the written record and continues from it.
TEST(Member, LostAnswerKeepsTheShare) {
  Talk talk(4);
  talk.now = 300;
  talk.see(2, 6, 20);
  const PutRecord lost = *std::exchange(talk.put, std::nullopt);
  talk.now = 1100;
  talk.tell(MemberCallLost{lost.call});
  talk.now = 1300;
  talk.tell(Tick{});
  ASSERT_TRUE(talk.put.has_value());
  EXPECT_EQ(talk.put->modified, 12u);
  const std::uint64_t refused = std::exchange(talk.put, std::nullopt)->call;
  talk.tell(RecordPut{refused, false, 0, lost.record, 21, 20, kHere});
  EXPECT_EQ(talk.units(), 4);
  ASSERT_TRUE(talk.put.has_value());
  EXPECT_EQ(talk.put->modified, 21u);
  talk.done(22);
  EXPECT_EQ(talk.units(), 6);
  EXPECT_EQ(talk.member.counters().ended, 0u);
}

TEST(Member, MissingRecordEndsTheIncarnation) {
  Talk talk(4);
  talk.now = 1200;
  talk.tell(Tick{});
  const std::uint64_t call = std::exchange(talk.put, std::nullopt)->call;
  talk.tell(RecordPut{call, false, 0, {}, 0, 11, kHere});
  EXPECT_EQ(talk.units(), 0);
  EXPECT_EQ(talk.out.incarnation, 0u);
}

TEST(Member, ValidityCountsFromTheStartOfTheCall) {
  Talk talk(4);
  talk.now = 1100;
  talk.tell(Tick{});
  const std::uint64_t renewal = talk.renew->call;
  talk.now = 1900;
  talk.done(30);
  talk.tell(Renewed{renewal, true, kHere});
  EXPECT_DOUBLE_EQ(talk.out.valid_until, 1100 + valid_for(sharing()));
}

// The lease is revoked only when no request is in flight; until then the record is kept.
TEST(Member, LeavesAfterNothingIsInUse) {
  Talk talk(4);
  talk.traffic(2);
  talk.tell(Leave{});
  EXPECT_EQ(talk.units(), 0);
  talk.now = 200;
  talk.traffic(2);
  EXPECT_FALSE(talk.revoke.has_value());
  ASSERT_TRUE(talk.renew.has_value());
  talk.tell(Renewed{talk.renew->call, true, kHere});
  talk.now = 400;
  talk.traffic(0);
  ASSERT_TRUE(talk.revoke.has_value());
  talk.tell(Revoked{talk.revoke->call, kHere});
  EXPECT_TRUE(talk.member.left());
}

}  // namespace
}  // namespace shorelead::fleet
