// Regression tests for event orders found by the settings simulation: a reload or a list arrives between a
// decision and its execution.
#include <gtest/gtest.h>

#include "crossings/settings_simulation.h"

namespace shorelead::node {
namespace {

// A policy host with four backends that answer probes at once and do not answer requests.
struct SlowBackends {
  explicit SlowBackends(const Settings& settings, const HostSettings& names = host())
      : policy_host(settings, names, 1) {
    policy_host.start(list("ready"), now);
  }

  static Settings settings(bool parallel) {
    Settings s;
    RequestClass c;
    c.effect = Effect::kSafe;
    c.aim = c.deadline = 1000;
    s.classes.push_back(c);
    s.max_attempts = 9;
    s.reports_with_answers = false;  // so that it probes before sending, and may hedge
    s.parallel_attempts = parallel;
    return s;
  }
  static HostSettings host() {
    HostSettings h;
    h.classes = {"look"};
    return h;
  }
  List list(const std::string& health) {
    List all;
    expected.whole = health == "ready";
    for (int n = 0; n < 4; ++n) {
      ListedBackend one;
      one.host = std::string("s-").append(std::to_string(n));
      one.dial = "127.0.0.1:9000";
      one.health = health;
      expected.backends.push_back(one);
    }
    return all;
  }
  // Advances the time to `until` and runs the actions that are due.
  void advance(Millis until) {
    while (true) {
      const DeferredActions due = policy_host.tick(now);
      for (const Choice& choice : due.choices) {
        if (choice.kind == Choice::Kind::kSend) sent.push_back(choice);
      }
      probes += static_cast<int>(due.probes.size());
      LoadReport idle;
      idle.in_hand = idle.waiting = idle.busy = 0;
      for (const BackendId backend : due.probes)
        policy_host.report_probe(backend, Ending::kServed, 1, &idle, now);
      if (!due.probes.empty()) continue;
      if (due.next <= 0 || due.next > until) break;
      now = std::max(now + 0.01, due.next);
    }
    now = until;
  }

  // Records answers after 10 ms, so that a request without an answer counts as slow long before its deadline.
  void record_fast_answers() {
    for (RequestId id = 1000; id < 1300; ++id) {
      policy_host.pick(id, {0, 0, now + 1000}, now);
      advance(now + 10);
      for (const Choice& one : std::exchange(sent, {}))
        policy_host.report(one.request, one.attempt, Ending::kServed, 10, nullptr, now);
    }
  }

  Millis now = 1.7e12;
  std::vector<Choice> sent;
  int probes = 0;
  PolicyHost policy_host;
};

TEST(Settings, HedgingSendsAtMostTwoAttemptsAtOnce) {
  SlowBackends node(SlowBackends::settings(true));
  node.record_fast_answers();
  node.policy_host.pick(1, {0, 0, node.now + 1000}, node.now);
  node.advance(node.now + 990);
  EXPECT_EQ(node.sent.size(), 2U) << "the first attempt and one hedge";
}

TEST(Settings, AReloadThatAllowsHedgingDoesNotHedgeOpenRequests) {
  SlowBackends node(SlowBackends::settings(false));
  node.record_fast_answers();
  node.policy_host.pick(1, {0, 0, node.now + 1000}, node.now);
  node.advance(node.now + 5);
  ASSERT_EQ(node.sent.size(), 1U);
  node.policy_host.adopt(SlowBackends::settings(true), SlowBackends::host(), node.now);
  const Choice next = node.policy_host.report(1, 0, Ending::kRejected, 5, nullptr, node.now);
  if (next.kind == Choice::Kind::kSend) node.sent.push_back(next);
  node.advance(node.now + 980);
  EXPECT_EQ(node.sent.size(), 2U)
      << "the retry is in flight, and the request came under settings that allow one attempt at once";
}

TEST(Settings, FreeProbesKeepTheirPeriod) {
  SlowBackends node(SlowBackends::settings(false));
  node.advance(node.now + 10000);  // without requests
  EXPECT_GE(node.probes, 4 * 9);
  EXPECT_LE(node.probes, 4 * 11);
}

TEST(Settings, AListThatDrainsBackendsCancelsPendingProbesAndAttempts) {
  SlowBackends node(SlowBackends::settings(false));
  node.advance(node.now + 2000);
  EXPECT_EQ(node.policy_host.pick(1, {0, 0, node.now + 1000}, node.now).kind, Choice::Kind::kPending);
  node.policy_host.report_list(node.list("draining"), ListSource::kWatch, node.now);
  const DeferredActions due = node.policy_host.tick(node.now);
  EXPECT_TRUE(due.probes.empty()) << "of backends that are draining";
  for (const Choice& choice : due.choices) EXPECT_NE(choice.kind, Choice::Kind::kSend);
}

// The answer to a probe decides on an attempt; in the same turn a list reports all backends as draining.
TEST(Settings, AnAttemptDecidedAfterAProbeIsNotSentToADrainingBackend) {
  SlowBackends node(SlowBackends::settings(false));
  node.advance(node.now + 2000);
  EXPECT_EQ(node.policy_host.pick(1, {0, 0, node.now + 1000}, node.now).kind, Choice::Kind::kPending);
  const std::vector<BackendId> probed = node.policy_host.tick(node.now).probes;
  ASSERT_FALSE(probed.empty());
  LoadReport idle;
  idle.in_hand = idle.waiting = idle.busy = 0;
  for (const BackendId one : probed) node.policy_host.report_probe(one, Ending::kServed, 1, &idle, node.now);
  node.policy_host.report_list(node.list("draining"), ListSource::kWatch, node.now);
  const DeferredActions due = node.policy_host.tick(node.now);
  for (const Choice& choice : due.choices) EXPECT_NE(choice.kind, Choice::Kind::kSend);
  ASSERT_FALSE(due.choices.empty());
  EXPECT_EQ(due.choices.back().kind, Choice::Kind::kRefuse) << "no backend is left";
}

// A class that a reload removes counts neither in the comparison of worth nor with its aim.
TEST(Settings, ARemovedClassDoesNotAffectTheOthers) {
  Settings cheap = SlowBackends::settings(false);
  cheap.reports_with_answers = true;
  cheap.probing = false;
  Settings both = cheap;
  both.classes.push_back(both.classes[0]);
  both.classes[1].worth = 1000;
  HostSettings names = SlowBackends::host();
  names.classes.emplace_back("dear");
  const auto accepted_requests = [](PolicyHost& policy_host, Millis now) {
    int count = 0;
    while (count < 1000 &&
           policy_host.pick(static_cast<RequestId>(count + 1), {0, 0, now + 1000}, now).kind ==
               Choice::Kind::kSend)
      ++count;
    return count;
  };
  SlowBackends without(cheap);
  SlowBackends removed(both, names);
  SlowBackends with(both, names);
  removed.policy_host.adopt(cheap, SlowBackends::host(), removed.now);
  const int expected = accepted_requests(without.policy_host, without.now);
  EXPECT_EQ(accepted_requests(removed.policy_host, removed.now), expected);
  EXPECT_LT(accepted_requests(with.policy_host, with.now), expected)
      << "next to a class of higher worth, the class is limited";
}

}  // namespace
}  // namespace shorelead::node
