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
struct MemberDriver {
  Member member{"a", "z", 1, sharing(), {at_once()}, 7};
  MemberOut out;
  Millis now = 0;
  std::shared_ptr<const Snapshot> snapshot = std::make_shared<const Snapshot>();
  std::optional<PutRecord> put;
  std::optional<RevokeLease> revoke;
  std::optional<RenewLease> renew;
  std::optional<GrantLease> grant;

  void send(const MemberEvent& event) {
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
    send(Traffic{state});
  }
  void done(std::uint64_t revision, const Header& header = kHere) {
    const std::uint64_t call = std::exchange(put, std::nullopt)->call;
    send(RecordPut{call, true, revision, {}, 0, 0, header});
  }
  void see(std::uint64_t epoch, double units, std::uint64_t modified, const Header& header = kHere) {
    Plan plan;
    plan.epoch = epoch;
    plan.history = header.cluster;
    plan.wholes["units"] = {10, 0};
    plan.shares[MemberId{"a", member.incarnation()}.text()]["units"] = {units, 0};
    send(PlanSeen{plan, modified, header, now});
  }
  double units() const {
    const auto it = snapshot->parts.find("units");
    return it == snapshot->parts.end() ? 0 : it->second.amount;
  }
  // Joins, with `units` in force at epoch 1.
  explicit MemberDriver(double units) {
    send(Tick{});
    send(Granted{grant->call, 5, kHere});
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
  MemberDriver driver(4);
  driver.now = 300;
  driver.see(2, 6, 20);
  EXPECT_EQ(driver.put->record.in_force.at("units").amount, 6);
  EXPECT_EQ(driver.units(), 4);
  driver.done(21);
  EXPECT_EQ(driver.units(), 6);
}

TEST(Member, RecordKeepsUnitsInUse) {
  MemberDriver driver(6);
  driver.now = 300;
  driver.see(2, 1, 20);
  EXPECT_EQ(driver.units(), 1);
  EXPECT_FALSE(driver.put.has_value()) << "the traffic has not taken it over";
  driver.traffic(5);
  ASSERT_TRUE(driver.put.has_value());
  EXPECT_EQ(driver.put->record.in_force.at("units").amount, 5);
  EXPECT_EQ(driver.put->record.epoch, 2u);
  driver.done(21);
  driver.now = 600;
  driver.traffic(3);
  EXPECT_EQ(driver.put->record.in_force.at("units").amount, 3);
}

// An answer from another history does not count, even if all comparisons happened to hold there.
TEST(Member, AnswerOfAnotherHistoryEndsTheIncarnation) {
  MemberDriver driver(4);
  driver.now = 300;
  driver.see(2, 6, 20);
  driver.done(21, {2, 21});
  EXPECT_EQ(driver.units(), 0);
  EXPECT_EQ(driver.out.incarnation, 0u);
  EXPECT_EQ(driver.out.valid_until, 0);
  EXPECT_EQ(driver.member.counters().histories, 1u);
}

TEST(Member, LateAnswerIsNotALostHistory) {
  MemberDriver driver(4);
  const Millis begun = driver.now = 300;
  driver.now = 310;
  driver.send(HeaderObserved{{1, 130}, 305});
  driver.now = 320;
  driver.send(HeaderObserved{{1, 120}, begun});
  EXPECT_EQ(driver.member.counters().histories, 0u);
  driver.send(HeaderObserved{{1, 120}, 315});
  EXPECT_EQ(driver.member.counters().histories, 1u);
}

// The call succeeded but its answer was lost: the retry finds the written record and continues from it.
TEST(Member, LostAnswerKeepsTheShare) {
  MemberDriver driver(4);
  driver.now = 300;
  driver.see(2, 6, 20);
  const PutRecord lost = *std::exchange(driver.put, std::nullopt);
  driver.now = 1100;
  driver.send(MemberCallLost{lost.call});
  driver.now = 1300;
  driver.send(Tick{});
  ASSERT_TRUE(driver.put.has_value());
  EXPECT_EQ(driver.put->modified, 12u);
  const std::uint64_t refused = std::exchange(driver.put, std::nullopt)->call;
  driver.send(RecordPut{refused, false, 0, lost.record, 21, 20, kHere});
  EXPECT_EQ(driver.units(), 4);
  ASSERT_TRUE(driver.put.has_value());
  EXPECT_EQ(driver.put->modified, 21u);
  driver.done(22);
  EXPECT_EQ(driver.units(), 6);
  EXPECT_EQ(driver.member.counters().ended, 0u);
}

TEST(Member, MissingRecordEndsTheIncarnation) {
  MemberDriver driver(4);
  driver.now = 1200;
  driver.send(Tick{});
  const std::uint64_t call = std::exchange(driver.put, std::nullopt)->call;
  driver.send(RecordPut{call, false, 0, {}, 0, 11, kHere});
  EXPECT_EQ(driver.units(), 0);
  EXPECT_EQ(driver.out.incarnation, 0u);
}

TEST(Member, ValidityCountsFromTheStartOfTheCall) {
  MemberDriver driver(4);
  driver.now = 1100;
  driver.send(Tick{});
  const std::uint64_t renewal = driver.renew->call;
  driver.now = 1900;
  driver.done(30);
  driver.send(Renewed{renewal, true, kHere});
  EXPECT_DOUBLE_EQ(driver.out.valid_until, 1100 + valid_for(sharing()));
}

// The lease is revoked only when no request is in flight; until then the record is kept.
TEST(Member, LeavesAfterNothingIsInUse) {
  MemberDriver driver(4);
  driver.traffic(2);
  driver.send(Leave{});
  EXPECT_EQ(driver.units(), 0);
  driver.now = 200;
  driver.traffic(2);
  EXPECT_FALSE(driver.revoke.has_value());
  ASSERT_TRUE(driver.renew.has_value());
  driver.send(Renewed{driver.renew->call, true, kHere});
  driver.now = 400;
  driver.traffic(0);
  ASSERT_TRUE(driver.revoke.has_value());
  driver.send(Revoked{driver.revoke->call, kHere});
  EXPECT_TRUE(driver.member.left());
}

}  // namespace
}  // namespace shorelead::fleet
