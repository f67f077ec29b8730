// Who gets a request while the list may be out of date: only who has passed a health check lately enough.
#include <gtest/gtest.h>

#include "module_case.h"

namespace shorelead {
namespace {

constexpr Millis kConfirmedFor = 500;
constexpr BackendId kBackends = 4;

// Its list has just gone out of date; checks are answered by the test, and none of the round is under way.
struct Outdated : Node {
  explicit Outdated(const Settings& settings) : Node(settings) {
    report_in_hand(kBackends, 0);
    list(entries(kBackends));
    run_past_probes();
    probe_time.clear();
    expire();
  }
  void expire() { feed(ListValidity{.until = now, .confirmed_for = kConfirmedFor}); }
  // The health checks that were set off.
  static std::vector<BackendId> checked(const std::vector<Action>& actions) {
    std::vector<BackendId> all;
    for (const Action& a : actions) {
      if (const auto* probe = std::get_if<SendProbe>(&a)) all.push_back(probe->backend);
    }
    return all;
  }
  static std::optional<BackendId> sent(const std::vector<Action>& actions) {
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&a)) return send->backend;
    }
    return std::nullopt;
  }
  std::vector<Action> check_ends(BackendId backend, Outcome outcome) {
    ProbeEnded ended;
    ended.backend = backend;
    ended.outcome = outcome;
    ended.elapsed = 1;
    return feed(ended);
  }
};

Settings probing(Millis price = 0) {
  Settings s = plain_settings();
  s.probing = true;
  s.probe_price = price;
  s.max_attempts = 3;
  return s;
}

TEST(Confirmations, ARequestIsHeldForAHealthCheckAndGoesToWhoPassesIt) {
  Outdated node(probing());
  // Checks of the round have passed before, and vouch for nobody any more.
  node.run_to(node.now + kConfirmedFor);
  node.log.clear();
  const auto actions = node.arrive(1);
  EXPECT_FALSE(Outdated::sent(actions));
  const auto checked = Outdated::checked(actions);
  ASSERT_FALSE(checked.empty());
  const auto after = node.check_ends(checked.front(), Outcome::kServed);
  EXPECT_EQ(Outdated::sent(after), checked.front());
}

TEST(Confirmations, WhoFailsItsCheckGetsNothingAndWithNobodyLeftTheRequestIsRefusedAtOnce) {
  Outdated node(probing());
  node.run_to(node.now + kConfirmedFor);
  auto open = Outdated::checked(node.arrive(1));
  std::size_t failed = 0;
  bool refused = false;
  while (!open.empty()) {
    const BackendId backend = open.back();
    open.pop_back();
    ++failed;
    const auto actions = node.check_ends(backend, Outcome::kRejected);
    EXPECT_FALSE(Outdated::sent(actions));
    for (const BackendId more : Outdated::checked(actions)) open.push_back(more);
    refused = refused || !none<Refuse>(actions);
  }
  EXPECT_TRUE(refused);
  EXPECT_EQ(failed, kBackends) << "each asked once";
  EXPECT_FALSE(none<Refuse>(node.arrive(2))) << "nor is anybody asked again at once";
}

TEST(Confirmations, WhereChecksAreNotAllowedAllIsRefusedAtOnce) {
  Settings s = probing();
  s.probing = false;
  Node node(s);
  node.list(entries(kBackends));
  node.feed(ListValidity{.until = node.now, .confirmed_for = kConfirmedFor});
  EXPECT_FALSE(none<Refuse>(node.arrive(1)));
  node.feed(ListValidity{});
  EXPECT_TRUE(Outdated::sent(node.arrive(2))) << "once the list holds again";
}

TEST(Confirmations, AnAnswerToARequestConfirmsNothing) {
  Outdated node(probing());
  node.run_to(node.now + kConfirmedFor);
  const auto checked = Outdated::checked(node.arrive(1));
  ASSERT_FALSE(checked.empty());
  const BackendId chosen = checked.front();
  node.check_ends(chosen, Outcome::kServed);
  for (const BackendId other : checked) {
    if (other != chosen) node.check_ends(other, Outcome::kRejected);
  }
  node.run_to(node.now + kConfirmedFor - 10);
  node.end(1, chosen, Outcome::kServed);
  node.run_to(node.now + 20);
  const auto actions = node.arrive(2);
  EXPECT_FALSE(Outdated::sent(actions)) << "its check is too old by now";
}

TEST(Confirmations, ARetryGoesOnlyToWhoIsConfirmed) {
  Outdated node(probing());
  node.run_to(node.now + kConfirmedFor);
  const auto checked = Outdated::checked(node.arrive(1));
  ASSERT_GE(checked.size(), 2U);
  const auto more = Outdated::checked(node.check_ends(checked[0], Outcome::kServed));
  ASSERT_EQ(more.size(), 1U) << "who has not been asked yet";
  for (std::size_t n = 1; n < checked.size(); ++n) node.check_ends(checked[n], Outcome::kRejected);
  EXPECT_FALSE(Outdated::sent(node.end(1, checked[0], Outcome::kError)));
  EXPECT_EQ(Outdated::sent(node.check_ends(more.front(), Outcome::kServed)), more.front());
}

TEST(Confirmations, DearChecksAreMadeForRequestsThatWaitAlone) {
  for (const double price : {0.0, 0.08}) {
    Outdated node(probing(price));
    node.run_to(node.now + kConfirmedFor);
    const auto checked = Outdated::checked(node.arrive(1));
    EXPECT_EQ(checked.size(), price > 0 ? 2U : 3U);
    const auto after = node.check_ends(checked.front(), Outcome::kServed);
    EXPECT_EQ(Outdated::sent(after), checked.front());
    EXPECT_EQ(Outdated::checked(after).size(), price > 0 ? 0U : 1U) << "one more, for those behind it";
  }
}

TEST(Confirmations, ACheckBeforeAListThatWasLostVouchesForNobody) {
  Outdated node(probing());
  node.run_to(node.now + kConfirmedFor);
  const auto checked = Outdated::checked(node.arrive(1));
  ASSERT_FALSE(checked.empty());
  node.check_ends(checked.front(), Outcome::kServed);
  node.feed(ListValidity{.until = node.now, .confirmed_for = kConfirmedFor, .confirmed_after = node.now + 1});
  EXPECT_FALSE(Outdated::sent(node.arrive(2)));
}

}  // namespace
}  // namespace shorelead
