// What a node sends once its list is outdated: nothing, whatever its backends answer.
#include <gtest/gtest.h>

#include "module_case.h"

namespace shorelead {
namespace {

constexpr BackendId kBackends = 4;

std::optional<BackendId> sent_to(const std::vector<Action>& actions) {
  for (const Action& a : actions) {
    if (const auto* send = std::get_if<SendAttempt>(&a)) return send->backend;
  }
  return std::nullopt;
}

// A node whose list has just become outdated, while its backends are well. No probe is pending.
struct NodeWithOutdatedList : Node {
  explicit NodeWithOutdatedList(const Settings& settings) : Node(settings) {
    report_in_hand(kBackends, 0);
    list(entries(kBackends));
    if (settings.probing) run_past_probes();
    outdate_list();
  }
  void outdate_list() { feed(ListValidity{.until = now}); }
  // A health check of that backend passes, or does not.
  std::vector<Action> check_ends(BackendId backend, Outcome outcome) {
    ProbeEnded ended;
    ended.backend = backend;
    ended.outcome = outcome;
    ended.elapsed = 1;
    return feed(ended);
  }
};

Settings retrying_settings(bool probing) {
  Settings s = plain_settings();
  s.probing = probing;
  s.max_attempts = 3;
  return s;
}

TEST(ListValidity, OnceTheListIsOutdatedEveryRequestIsRefusedAtOnce) {
  for (const bool probing : {false, true}) {
    NodeWithOutdatedList node(retrying_settings(probing));
    const auto actions = node.arrive(1);
    EXPECT_FALSE(sent_to(actions)) << probing;
    EXPECT_FALSE(none<Refuse>(actions)) << probing;
    node.feed(ListValidity{});
    EXPECT_TRUE(sent_to(node.arrive(2))) << "once the list is valid again; " << probing;
  }
}

// A backend that has left the list may pass its checks.
TEST(ListValidity, APassedHealthCheckDoesNotStandInForAValidList) {
  NodeWithOutdatedList node(retrying_settings(true));
  for (BackendId backend = 0; backend < kBackends; ++backend) {
    EXPECT_FALSE(sent_to(node.check_ends(backend, Outcome::kServed)));
    const auto actions = node.arrive(1 + backend);
    EXPECT_FALSE(sent_to(actions)) << backend;
    EXPECT_FALSE(none<Refuse>(actions)) << backend;
  }
}

TEST(ListValidity, NoRetryOnceTheListIsOutdated) {
  NodeWithOutdatedList node(retrying_settings(true));
  node.feed(ListValidity{});
  const auto first = sent_to(node.arrive(1));
  ASSERT_TRUE(first);
  node.outdate_list();
  EXPECT_FALSE(sent_to(node.end(1, *first, Outcome::kNoConnection)));
}

// The validity ends by the clock, without another event.
TEST(ListValidity, EndsAtItsTime) {
  NodeWithOutdatedList node(retrying_settings(true));
  constexpr Millis kValidFor = 500;
  node.feed(ListValidity{.until = node.now + kValidFor});
  const auto first = sent_to(node.arrive(1));
  ASSERT_TRUE(first);
  node.end(1, *first, Outcome::kServed);
  node.run_to(node.now + kValidFor);
  EXPECT_FALSE(sent_to(node.arrive(2))) << "an answered request proves nothing of the list";
}

}  // namespace
}  // namespace shorelead
