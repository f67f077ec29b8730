// Which backends get requests once the list is outdated: only those that passed a health check recently.
#include <gtest/gtest.h>

#include "module_case.h"

namespace shorelead {
namespace {

constexpr Millis kConfirmedFor = 500;
constexpr BackendId kBackends = 4;

// A node whose list has just become outdated. The test answers the health checks; no probe of the round is
// pending.
struct NodeWithOutdatedList : Node {
  explicit NodeWithOutdatedList(const Settings& settings) : Node(settings) {
    report_in_hand(kBackends, 0);
    list(entries(kBackends));
    run_past_probes();
    probe_time.clear();
    outdate_list();
  }
  void outdate_list() { feed(ListValidity{.until = now, .confirmed_for = kConfirmedFor}); }
  // The backends to which health checks were sent.
  static std::vector<BackendId> checked_backends(const std::vector<Action>& actions) {
    std::vector<BackendId> all;
    for (const Action& a : actions) {
      if (const auto* probe = std::get_if<SendProbe>(&a)) all.push_back(probe->backend);
    }
    return all;
  }
  static std::optional<BackendId> sent_to(const std::vector<Action>& actions) {
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

Settings probing_settings(Millis price = 0) {
  Settings s = plain_settings();
  s.probing = true;
  s.probe_price = price;
  s.max_attempts = 3;
  return s;
}

TEST(Confirmations, ARequestWaitsForAHealthCheckAndGoesToTheBackendThatPasses) {
  NodeWithOutdatedList node(probing_settings());
  // Checks of the last round passed too long ago to confirm a backend.
  node.run_to(node.now + kConfirmedFor);
  node.log.clear();
  const auto actions = node.arrive(1);
  EXPECT_FALSE(NodeWithOutdatedList::sent_to(actions));
  const auto checked = NodeWithOutdatedList::checked_backends(actions);
  ASSERT_FALSE(checked.empty());
  const auto after = node.check_ends(checked.front(), Outcome::kServed);
  EXPECT_EQ(NodeWithOutdatedList::sent_to(after), checked.front());
}

TEST(Confirmations, WhenAllBackendsFailTheirChecksTheRequestIsRefusedAtOnce) {
  NodeWithOutdatedList node(probing_settings());
  node.run_to(node.now + kConfirmedFor);
  auto open = NodeWithOutdatedList::checked_backends(node.arrive(1));
  std::size_t failed = 0;
  bool refused = false;
  while (!open.empty()) {
    const BackendId backend = open.back();
    open.pop_back();
    ++failed;
    const auto actions = node.check_ends(backend, Outcome::kRejected);
    EXPECT_FALSE(NodeWithOutdatedList::sent_to(actions));
    for (const BackendId more : NodeWithOutdatedList::checked_backends(actions)) open.push_back(more);
    refused = refused || !none<Refuse>(actions);
  }
  EXPECT_TRUE(refused);
  EXPECT_EQ(failed, kBackends) << "each asked once";
  EXPECT_FALSE(none<Refuse>(node.arrive(2))) << "nor is anybody asked again at once";
}

TEST(Confirmations, WithoutProbingAllRequestsAreRefusedAtOnce) {
  Settings s = probing_settings();
  s.probing = false;
  Node node(s);
  node.list(entries(kBackends));
  node.feed(ListValidity{.until = node.now, .confirmed_for = kConfirmedFor});
  EXPECT_FALSE(none<Refuse>(node.arrive(1)));
  node.feed(ListValidity{});
  EXPECT_TRUE(NodeWithOutdatedList::sent_to(node.arrive(2))) << "once the list holds again";
}

TEST(Confirmations, AnAnswerToARequestConfirmsNothing) {
  NodeWithOutdatedList node(probing_settings());
  node.run_to(node.now + kConfirmedFor);
  const auto checked = NodeWithOutdatedList::checked_backends(node.arrive(1));
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
  EXPECT_FALSE(NodeWithOutdatedList::sent_to(actions)) << "its check is too old by now";
}

TEST(Confirmations, ARetryGoesOnlyToAConfirmedBackend) {
  NodeWithOutdatedList node(probing_settings());
  node.run_to(node.now + kConfirmedFor);
  const auto checked = NodeWithOutdatedList::checked_backends(node.arrive(1));
  ASSERT_GE(checked.size(), 2U);
  const auto more = NodeWithOutdatedList::checked_backends(node.check_ends(checked[0], Outcome::kServed));
  ASSERT_EQ(more.size(), 1U) << "who has not been asked yet";
  for (std::size_t n = 1; n < checked.size(); ++n) node.check_ends(checked[n], Outcome::kRejected);
  EXPECT_FALSE(NodeWithOutdatedList::sent_to(node.end(1, checked[0], Outcome::kError)));
  EXPECT_EQ(NodeWithOutdatedList::sent_to(node.check_ends(more.front(), Outcome::kServed)), more.front());
}

TEST(Confirmations, ExpensiveChecksAreSentOnlyForRequestsThatWait) {
  for (const double price : {0.0, 0.08}) {
    NodeWithOutdatedList node(probing_settings(price));
    node.run_to(node.now + kConfirmedFor);
    const auto checked = NodeWithOutdatedList::checked_backends(node.arrive(1));
    EXPECT_EQ(checked.size(), price > 0 ? 2U : 3U);
    const auto after = node.check_ends(checked.front(), Outcome::kServed);
    EXPECT_EQ(NodeWithOutdatedList::sent_to(after), checked.front());
    EXPECT_EQ(NodeWithOutdatedList::checked_backends(after).size(), price > 0 ? 0U : 1U)
        << "one more, for those behind it";
  }
}

TEST(Confirmations, ACheckFromBeforeALostListConfirmsNothing) {
  NodeWithOutdatedList node(probing_settings());
  node.run_to(node.now + kConfirmedFor);
  const auto checked = NodeWithOutdatedList::checked_backends(node.arrive(1));
  ASSERT_FALSE(checked.empty());
  node.check_ends(checked.front(), Outcome::kServed);
  node.feed(ListValidity{.until = node.now, .confirmed_for = kConfirmedFor, .confirmed_after = node.now + 1});
  EXPECT_FALSE(NodeWithOutdatedList::sent_to(node.arrive(2)));
}

}  // namespace
}  // namespace shorelead
