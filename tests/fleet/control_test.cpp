// Control threads over sockets against a stand-in for etcd, with the traffic of all processes on the test's
// thread. Tests wait for a state, never for a time; where a lease has to expire they check that it did, not
// when. Also run under ThreadSanitizer.
#include <gtest/gtest.h>

#include "fleet_bench.h"

namespace shorelead::fleet {
namespace {

double sum(const std::vector<Process*>& all, const std::string& budget) {
  double sum = 0;
  for (const Process* process : all) sum += process->has(budget).amount;
  return sum;
}

double most(std::size_t budget) { return divisible(two_budgets()[budget], sharing_of_a_second()).amount; }

// Whether each process has a part of both budgets and together they have nearly all. Every process spends
// something first, since a share without demand is not raised.
bool shared(const std::vector<Process*>& all) {
  for (Process* process : all) {
    process->port.spend(0, Port::now());
    if (process->port.spend(1, Port::now()) == Spent::kYes) process->port.end(1, Port::now());
  }
  for (const Process* process : all) {
    if (process->has("rate").amount <= 0 || process->has("at once").amount <= 0) return false;
  }
  return sum(all, "rate") >= 0.9 * most(0) && sum(all, "at once") >= 0.9 * most(1);
}

TEST(Control, UnitsInUseAreNotGivenToAnotherProcess) {
  StandIn store;
  Process a(store, "a", 1);
  run({&a}, [&] { return shared({&a}); });
  while (a.port.spend(1, Port::now()) == Spent::kYes) {
  }
  const auto in_use = static_cast<int>(a.channel->traffic.budgets[1].in_use.get());
  EXPECT_GE(in_use, 0.9 * most(1));
  Process b(store, "b", 2);
  const auto b_asks = [&] { b.port.spend(1, Port::now()); };
  run({&a, &b}, [&] {
    b_asks();
    return b.has("rate").amount > 0 && a.has("at once").amount < in_use;
  });
  for (int n = 0; n < in_use; ++n) {
    EXPECT_LE(b.has("at once").amount + a.channel->traffic.budgets[1].in_use.get(), most(1));
    a.port.end(1, Port::now());
    b_asks();
  }
  run({&a, &b}, [&] {
    b_asks();
    return b.has("at once").amount > most(1) / 2;
  });
  expect_within(store.copy());
}

TEST(Control, GracefulLeaveGivesAllSharesToTheOthers) {
  StandIn store;
  Process a(store, "a", 1);
  Process b(store, "b", 2);
  run({&a, &b}, [&] { return shared({&a, &b}); });
  a.control->leave();
  run({&a, &b}, [&] { return a.control->left() && shared({&b}); });
  EXPECT_EQ(a.port.valid(Port::now()), nullptr);
  EXPECT_TRUE(store.copy().range("/fleet/members/a", "", 0, 0).items.empty());
  expect_within(store.copy());
}

TEST(Control, StoreOutageLeavesTheReserveAndTheLastSnapshot) {
  StandIn store;
  Process a(store, "a", 1);
  run({&a}, [&] { return shared({&a}); });
  store.with([](lab::EtcdServer& server) { server.down(true); });
  run({&a}, [&] { return a.port.valid(Port::now()) == nullptr; });
  ASSERT_NE(a.port.last(), nullptr);
  int spent = 0;
  while (a.port.spend(1, Port::now()) == Spent::kYes) ++spent;
  EXPECT_EQ(spent, static_cast<int>(reserve_of(two_budgets()[1], sharing_of_a_second()).amount));
  EXPECT_GT(a.channel->traffic.budgets[1].bound_by_reserve.get(), 0U);
  store.with([](lab::EtcdServer& server) { server.down(false); });
  run({&a}, [&] { return shared({&a}); });
}

// Without its control thread nothing extends the validity: the traffic's shares expire.
TEST(Control, SharesExpireAfterTheControlThreadStopped) {
  StandIn store;
  Process a(store, "a", 1);
  Process b(store, "b", 2);
  run({&a, &b}, [&] { return shared({&a, &b}); });
  a.control.reset();
  run({&a, &b}, [&] { return shared({&b}); });
  EXPECT_EQ(a.port.valid(Port::now()), nullptr);
  expect_within(store.copy());
}

// Calls are lost or cut off, store members lag, revisions are compacted under the watches, and watches fall
// silent: the shares are divided in the end, and the sum never exceeds the whole.
TEST(Control, SharesStayWithinTheWholeUnderStoreFaults) {
  lab::EtcdTroubles troubles;
  troubles.members = 3;
  troubles.cuts = 0.05;
  troubles.lost = 0.05;
  troubles.compact_every = 100;
  troubles.lag = 3;
  troubles.deaf = 0.5;
  StandIn store(troubles);
  Process a(store, "a", 1);
  Process b(store, "b", 2);
  run({&a, &b}, [&] { return shared({&a, &b}); });
  Process c(store, "c", 3);
  run({&a, &b, &c}, [&] { return shared({&a, &b, &c}); });
  // Lagging store members are not taken for a lost history.
  for (const Process* one : {&a, &b, &c}) EXPECT_EQ(one->channel->control.histories.get(), 0U);
  expect_within(store.copy());
}

TEST(Control, LostHistoryEndsAllSharesAndTheyAreDividedAgain) {
  StandIn store;
  Process a(store, "a", 1);
  Process b(store, "b", 2);
  run({&a, &b}, [&] { return shared({&a, &b}); });
  store.with([](lab::EtcdServer& server) { server.restart(5); });
  run({&a, &b},
      [&] { return a.channel->control.histories.get() > 0 && b.channel->control.histories.get() > 0; });
  run({&a, &b}, [&] { return shared({&a, &b}); });
}

// The answers to its own record writes show a process that there is a plan that its silent watch missed.
TEST(Control, SilentWatchDoesNotPreventLowering) {
  StandIn store;
  Process a(store, "a", 1);
  run({&a}, [&] { return shared({&a}); });
  store.with([](lab::EtcdServer& server) { server.deafen(); });
  Process b(store, "b", 2);
  run({&a, &b}, [&] { return shared({&a, &b}); });
  expect_within(store.copy());
}

TEST(Control, UnreadablePlanIsNotApplied) {
  StandIn store;
  Process a(store, "a", 1);
  run({&a}, [&] { return shared({&a}); });
  store.with([](lab::EtcdServer& server) {
    server.store().put("/fleet/plan", "{\"form\":99}");
    server.poke();
  });
  run({&a}, [&] { return a.channel->control.unreadable.get() > 0; });
  EXPECT_TRUE(a.port.valid(Port::now()) != nullptr || a.channel->control.lapsed.get() > 0);
  EXPECT_EQ(store.copy().range("/fleet/plan", "", 0, 0).items[0].second.value, "{\"form\":99}");
}

TEST(Control, SecondProcessWithTheSameNameDoesNotJoin) {
  StandIn store;
  Process a(store, "same", 1);
  run({&a}, [&] { return shared({&a}); });
  Process b(store, "same", 2);
  run({&a, &b}, [&] { return b.channel->control.name_taken.get() > 0; });
  EXPECT_EQ(b.channel->control.joined.get(), 0U);
  EXPECT_NE(a.port.valid(Port::now()), nullptr);
  expect_within(store.copy());
}

TEST(Control, FullStoreLetsSharesExpireAndRecover) {
  StandIn store;
  Process a(store, "a", 1);
  run({&a}, [&] { return shared({&a}); });
  store.with([](lab::EtcdServer& server) { server.full(true); });
  run({&a}, [&] { return a.port.valid(Port::now()) == nullptr; });  // its record cannot be rewritten
  store.with([](lab::EtcdServer& server) { server.full(false); });
  run({&a}, [&] { return shared({&a}); });
  expect_within(store.copy());
}

}  // namespace
}  // namespace shorelead::fleet
