// A request with a home unit from an affinity rule: the module chooses within that unit for each attempt;
// drains and retries take precedence.
#include <gtest/gtest.h>

#include <set>

#include "node/policy_host.h"

namespace shorelead::node {
namespace {

struct Case {
  Case() {
    RequestClass c;
    c.effect = Effect::kSafe;
    c.aim = 400;
    c.deadline = 1000;
    settings.classes = {c};
    settings.max_attempts = 3;
    settings.probing = false;
    HostSettings host;
    host.zones = {"a", "b"};
    policy_host = std::make_unique<PolicyHost>(settings, host, 7);
    list.whole = true;
    for (int n = 1; n <= 8; ++n) {
      const std::string number = std::to_string(n);
      ListedBackend one{"s-", "127.0.0.1:900", std::string("ready"), std::string(1, n <= 4 ? 'a' : 'b'),
                        n % 2};
      one.host += number;
      one.dial += number;
      list.backends.push_back(one);
    }
    policy_host->start(list, now);
  }
  void health(const std::string& name, const std::string& health) {
    for (ListedBackend& one : list.backends) {
      if (one.host == name) one.health = health;
    }
    policy_host->report_list(list, ListSource::kWatch, now);
  }
  // The backends that one request is sent to, each of which rejects it.
  std::vector<std::string> tries(Unit home) {
    std::vector<std::string> all;
    now += 5;
    RequestInfo info{0, 0, now + 1000, -1, false};
    info.home = home;
    Choice choice = policy_host->pick(++last, info, now);
    while (choice.kind == Choice::Kind::kSend) {
      all.push_back(policy_host->host(choice.backend));
      choice = policy_host->report(last, choice.attempt, Ending::kRejected, 1, nullptr, now);
    }
    EXPECT_EQ(choice.kind, Choice::Kind::kRefuse);
    return all;
  }
  std::string served(Unit home) {
    now += 5;
    RequestInfo info{0, 0, now + 1000, -1, false};
    info.home = home;
    const Choice choice = policy_host->pick(++last, info, now);
    if (choice.kind != Choice::Kind::kSend) return "";
    policy_host->report(last, choice.attempt, Ending::kServed, 2, nullptr, now += 2);
    return policy_host->host(choice.backend);
  }
  Unit unit(Unit::Kind kind, const std::string& name, bool required) {
    Unit unit = policy_host->find_unit(kind, name)->unit;
    unit.required = required;
    return unit;
  }

  Settings settings;
  List list;
  Millis now = 1.7e12;
  RequestId last = 0;
  std::unique_ptr<PolicyHost> policy_host;
};

TEST(Home, ABoundRequestStaysInItsUnitForEveryAttempt) {
  struct Row {
    Unit::Kind kind;
    const char* name;
    std::set<std::string> all;
  };
  const Row rows[] = {{Unit::Kind::kBackend, "s-3", {"s-3"}},
                      {Unit::Kind::kCell, "a/1", {"s-1", "s-3"}},
                      {Unit::Kind::kZone, "b", {"s-5", "s-6", "s-7", "s-8"}}};
  for (const Row& row : rows) {
    Case c;
    std::set<std::string> met;
    for (int n = 0; n < 60; ++n) {
      if (n % 3 == 0) c.served({});  // other requests are not bound to a unit
      const std::vector<std::string> tries = c.tries(c.unit(row.kind, row.name, true));
      for (const std::string& backend : tries) {
        EXPECT_EQ(row.all.count(backend), 1U) << row.name << " " << backend;
        met.insert(backend);
      }
    }
    EXPECT_EQ(met, row.all);
    // A draining unit gets no new requests, and no other unit gets them in its place.
    for (const std::string& backend : row.all) c.health(backend, "draining");
    EXPECT_TRUE(c.tries(c.unit(row.kind, row.name, true)).empty());
    EXPECT_EQ(c.policy_host->find_unit(row.kind, row.name)->status, affinity::UnitStatus::kDraining);
  }
}

TEST(Home, APreferredBackendIsUsedUnlessItDrainsOrRejects) {
  Case c;
  for (int n = 0; n < 40; ++n) {
    EXPECT_EQ(c.served(c.unit(Unit::Kind::kBackend, "s-6", false)), "s-6");
    c.served({});
  }
  // A retry goes to another backend, and so do all requests while the preferred one drains.
  const std::vector<std::string> tries = c.tries(c.unit(Unit::Kind::kBackend, "s-6", false));
  ASSERT_GT(tries.size(), 1U);
  EXPECT_EQ(tries.front(), "s-6");
  EXPECT_NE(tries[1], "s-6");
  c.health("s-6", "draining");
  for (int n = 0; n < 20; ++n) {
    const std::string backend = c.served(c.unit(Unit::Kind::kBackend, "s-6", false));
    EXPECT_NE(backend, "s-6");
    EXPECT_FALSE(backend.empty());
  }
}

}  // namespace
}  // namespace shorelead::node
