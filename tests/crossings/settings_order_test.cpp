// What settings, a reload and a list make of a decision that is on its way: each order that broke a rule,
// forced.
#include <gtest/gtest.h>

#include "crossings/settings_world.h"

namespace shorelead::node {
namespace {

// Four backends that answer probes at once and hold on to requests.
struct Held {
  explicit Held(const Settings& settings, const HostSettings& names = host())
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
    s.reports_with_answers = false;  // so it looks before it sends, and may hedge
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
    all.whole = health == "ready";
    for (int n = 0; n < 4; ++n) {
      ListedBackend one;
      one.host = std::string("s-").append(std::to_string(n));
      one.dial = "127.0.0.1:9000";
      one.health = health;
      all.backends.push_back(one);
    }
    return all;
  }
  // Lets time pass up to `until`.
  void pass(Millis until) {
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

  // Answers of 10 ms, so that a second is far longer than is expected.
  void teach() {
    for (RequestId id = 1000; id < 1300; ++id) {
      policy_host.pick(id, {0, 0, now + 1000}, now);
      pass(now + 10);
      for (const Choice& one : std::exchange(sent, {}))
        policy_host.report(one.request, one.attempt, Ending::kServed, 10, nullptr, now);
    }
  }

  Millis now = 1.7e12;
  std::vector<Choice> sent;
  int probes = 0;
  PolicyHost policy_host;
};

TEST(Settings, TwoAttemptsAtOnceAreNotThree) {
  Held f(Held::settings(true));
  f.teach();
  f.policy_host.pick(1, {0, 0, f.now + 1000}, f.now);
  f.pass(f.now + 990);
  EXPECT_EQ(f.sent.size(), 2U) << "the first, and one beside it";
}

TEST(Settings, AnOpenRequestIsNotHedgedForANewPermission) {
  Held f(Held::settings(false));
  f.teach();
  f.policy_host.pick(1, {0, 0, f.now + 1000}, f.now);
  f.pass(f.now + 5);
  ASSERT_EQ(f.sent.size(), 1U);
  f.policy_host.adopt(Held::settings(true), Held::host(), f.now);
  const Choice next = f.policy_host.report(1, 0, Ending::kRejected, 5, nullptr, f.now);
  if (next.kind == Choice::Kind::kSend) f.sent.push_back(next);
  f.pass(f.now + 980);
  EXPECT_EQ(f.sent.size(), 2U) << "the second is out, and came under settings that allow one at once";
}

TEST(Settings, ProbesThatCostNothingStillKeepTheirPeriod) {
  Held f(Held::settings(false));
  f.pass(f.now + 10000);  // and no request comes
  EXPECT_GE(f.probes, 4 * 9);
  EXPECT_LE(f.probes, 4 * 11);
}

TEST(Settings, WhatWasDecidedBeforeAListSaidOtherwiseIsNotDone) {
  Held f(Held::settings(false));
  f.pass(f.now + 2000);
  EXPECT_EQ(f.policy_host.pick(1, {0, 0, f.now + 1000}, f.now).kind, Choice::Kind::kPending);
  f.policy_host.report_list(f.list("draining"), ListSource::kWatch, f.now);
  const DeferredActions due = f.policy_host.tick(f.now);
  EXPECT_TRUE(due.probes.empty()) << "of backends that drain by now";
  for (const Choice& choice : due.choices) EXPECT_NE(choice.kind, Choice::Kind::kSend);
}

// The answer to a look has it sent, and in the same turn a list says that all drain.
TEST(Settings, AnAttemptDecidedBeforeAListSaidOtherwiseIsNotSent) {
  Held f(Held::settings(false));
  f.pass(f.now + 2000);
  EXPECT_EQ(f.policy_host.pick(1, {0, 0, f.now + 1000}, f.now).kind, Choice::Kind::kPending);
  const std::vector<BackendId> asked = f.policy_host.tick(f.now).probes;
  ASSERT_FALSE(asked.empty());
  LoadReport idle;
  idle.in_hand = idle.waiting = idle.busy = 0;
  for (const BackendId one : asked) f.policy_host.report_probe(one, Ending::kServed, 1, &idle, f.now);
  f.policy_host.report_list(f.list("draining"), ListSource::kWatch, f.now);
  const DeferredActions due = f.policy_host.tick(f.now);
  for (const Choice& choice : due.choices) EXPECT_NE(choice.kind, Choice::Kind::kSend);
  ASSERT_FALSE(due.choices.empty());
  EXPECT_EQ(due.choices.back().kind, Choice::Kind::kRefuse) << "nobody is left";
}

// A class that a reload drops makes no other one look cheap, nor does its aim bind any more.
TEST(Settings, ADroppedClassIsNoMeasureForTheOthers) {
  Settings cheap = Held::settings(false);
  cheap.reports_with_answers = true;
  cheap.probing = false;
  Settings both = cheap;
  both.classes.push_back(both.classes[0]);
  both.classes[1].worth = 1000;
  HostSettings names = Held::host();
  names.classes.emplace_back("dear");
  const auto taken = [](PolicyHost& policy_host, Millis now) {
    int count = 0;
    while (count < 1000 &&
           policy_host.pick(static_cast<RequestId>(count + 1), {0, 0, now + 1000}, now).kind ==
               Choice::Kind::kSend)
      ++count;
    return count;
  };
  Held never(cheap);
  Held dropped(both, names);
  Held still(both, names);
  dropped.policy_host.adopt(cheap, Held::host(), dropped.now);
  const int all = taken(never.policy_host, never.now);
  EXPECT_EQ(taken(dropped.policy_host, dropped.now), all);
  EXPECT_LT(taken(still.policy_host, still.now), all) << "beside a dear one it does give way";
}

}  // namespace
}  // namespace shorelead::node
