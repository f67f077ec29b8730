// PolicyHost: what each ending of an attempt means to the decision module, by what the module decides next.
#include "node/policy_host.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace shorelead::node {
namespace {

constexpr int kSafe = 0;
constexpr int kUnsafe = 1;
constexpr int kKeyed = 2;  // backends of one zone deduplicate each other's requests

Settings settings() {
  Settings s;
  for (const Effect effect : {Effect::kSafe, Effect::kUnsafe, Effect::kKeyed}) {
    RequestClass c;
    c.effect = effect;
    c.group = DedupGroup::kZone;
    c.dedup_window = 800;
    c.aim = 400;
    c.deadline = 1000;
    s.classes.push_back(c);
  }
  s.list_on_request = true;
  s.probing = false;
  s.max_attempts = 5;
  s.advise_wait = true;
  s.max_wait_advice = 500;
  return s;
}

HostSettings host() {
  HostSettings h;
  h.zones = {"a", "b"};
  return h;
}

List list_of(int backends) {
  List list;
  list.whole = true;
  for (int i = 0; i < backends; ++i) {
    ListedBackend b;
    b.host = "s-" + std::to_string(i);
    b.dial = "127.0.0.1:" + std::to_string(9000 + i);
    b.health = "ready";
    b.site = "a";
    list.backends.push_back(b);
  }
  return list;
}

struct Fixture {
  explicit Fixture(int backends = 4, const Settings& s = settings()) : policy_host(s, host(), 1) {
    policy_host.start(list_of(backends), now);
  }

  Choice pick(int request_class, Millis wait = 1000) {
    return policy_host.pick(++last, {request_class, 0, now + wait, -1, false}, now);
  }

  Choice report(int attempt, Ending ending) {
    return policy_host.report(last, attempt, ending, 5, nullptr, now);
  }

  Millis now = 1.7e12;
  RequestId last = 0;
  PolicyHost policy_host;
};

// A ban lasts until it is lifted, also where the backend leaves the list and returns.
TEST(PolicyHost, ABannedBackendGetsNoRequestsWhateverTheListSays) {
  Fixture f(2);
  manage::BanSet bans;
  bans.disable("s-0", f.now);
  EXPECT_EQ(f.policy_host.report_bans(bans, f.now).size(), 1U) << "its connections are to be dropped";
  const auto sent_to = [&f] {
    std::set<std::string> hosts;
    for (int n = 0; n < 20; ++n) {
      hosts.insert(f.policy_host.host(f.pick(kSafe).backend));
      f.report(0, Ending::kServed);
      f.now += 50;
    }
    return hosts;
  };
  const std::set<std::string> other = {"s-1"};
  EXPECT_EQ(sent_to(), other);
  EXPECT_EQ(f.policy_host.skipped(f.now), 1U);
  List list = list_of(2);
  f.policy_host.report_list(list, ListSource::kWatch, f.now);
  EXPECT_EQ(sent_to(), other) << "listed as ready again";
  list.backends.erase(list.backends.begin());
  f.policy_host.report_list(list, ListSource::kWatch, f.now);
  f.policy_host.report_list(list, ListSource::kWatch, f.now);  // frees its number
  f.policy_host.report_list(list_of(2), ListSource::kWatch, f.now);
  EXPECT_EQ(sent_to(), other) << "gone and back";
  bans.enable("s-0", f.now);
  f.policy_host.report_bans(bans, f.now);
  EXPECT_EQ(sent_to().size(), 2U);
}

// It may have restarted while it was out, and the list is seconds late: no more than a cold one's budget.
TEST(PolicyHost, ABackendWhoseBanIsLiftedIsColdUntilTheListSaysOtherwise) {
  Settings s = settings();
  s.warm_up = 10000;
  s.cold_share = 0.5;
  s.fall_multiple = 4;
  s.fall_span = 1000;
  Fixture f(2, s);
  manage::BanSet bans;
  bans.disable("s-0", f.now);
  f.policy_host.report_bans(bans, f.now);
  f.now += 3000;
  bans.enable("s-0", f.now);
  f.policy_host.report_bans(bans, f.now);
  std::map<std::string, int> sent;
  for (int n = 0; n < 200; ++n) {
    ++sent[f.policy_host.host(f.pick(kSafe).backend)];
    f.report(0, Ending::kServed);
    f.now += 5;
  }
  EXPECT_GT(sent["s-0"], 0);
  EXPECT_LT(sent["s-0"], 30) << "warm, it would have half of 200";
}

// Open requests keep their class and number of attempts; a class with another effect gets a new number.
TEST(PolicyHost, NewSettingsApplyToLaterRequestsOnly) {
  Settings s = settings();
  s.fall_multiple = 1;
  HostSettings h = host();
  h.classes = {"read", "pay", "book"};
  PolicyHost policy_host(s, h, 1);
  Millis now = 1.7e12;
  policy_host.start(list_of(6), now);
  EXPECT_EQ(policy_host.pick(1, {0, 0, now + 1000, -1, false}, now).kind, Choice::Kind::kSend);
  Settings next = s;
  next.max_attempts = 1;
  next.classes = {s.classes[1], s.classes[0], s.classes[0]};
  HostSettings names = h;
  names.classes = {"pay", "book", "new"};  // "book" is safe now, "read" is dropped
  EXPECT_EQ(policy_host.adopt(next, names, now), (std::vector<int>{1, 3, 4}));
  EXPECT_EQ(policy_host.adopt(s, h, now), (std::vector<int>{0, 1, 2})) << "as before: no new numbers";
  EXPECT_EQ(policy_host.adopt(next, names, now), (std::vector<int>{1, 3, 4}));
  const auto sent_again = [&](RequestId request) {
    return policy_host.report(request, 0, Ending::kErred, 5, nullptr, now).kind == Choice::Kind::kSend;
  };
  EXPECT_TRUE(sent_again(1)) << "came when there were five attempts";
  EXPECT_EQ(policy_host.pick(2, {3, 0, now + 1000, -1, false}, now).kind, Choice::Kind::kSend);
  EXPECT_FALSE(sent_again(2));
}

// Rule "no effect twice": an unsafe request is retried only if its last byte was never written.
TEST(PolicyHost, AnUnsafeRequestIsRetriedOnlyIfItWasNeverWritten) {
  const std::vector<std::pair<Ending, bool>> endings = {
      {Ending::kRejected, true},     {Ending::kRefused, true},      {Ending::kConnectTimeout, true},
      {Ending::kNoDescriptor, true}, {Ending::kBrokenUnsent, true}, {Ending::kStoppedUnsent, true},
      {Ending::kErred, false},       {Ending::kBroken, false},      {Ending::kMalformed, false},
      {Ending::kTimeout, false},     {Ending::kCancelled, false},   {Ending::kPeerClosed, false},
      {Ending::kIdle, false},        {Ending::kEvicted, false},     {Ending::kSilent, false},
      {Ending::kDone, false},
  };
  for (const auto& [ending, goes_on] : endings) {
    Fixture f;
    const Choice first = f.pick(kUnsafe);
    ASSERT_EQ(first.kind, Choice::Kind::kSend) << name_of(ending);
    const Choice next = f.report(0, ending);
    EXPECT_EQ(next.kind, goes_on ? Choice::Kind::kSend : Choice::Kind::kFail) << name_of(ending);
    if (goes_on) {
      EXPECT_EQ(next.attempt, 1);
      EXPECT_NE(next.backend, first.backend);
    }
  }
}

TEST(PolicyHost, TheFirstCompleteResponseIsForwardedOnce) {
  Fixture f;
  ASSERT_EQ(f.pick(kSafe).kind, Choice::Kind::kSend);
  EXPECT_EQ(f.report(0, Ending::kServed).kind, Choice::Kind::kForward);
  EXPECT_EQ(f.report(0, Ending::kServed).kind, Choice::Kind::kEnded);
  EXPECT_EQ(f.policy_host.open_requests(), 0U);
}

TEST(PolicyHost, NothingIsAnsweredOnceTheClientHasGone) {
  Fixture f;
  ASSERT_EQ(f.pick(kSafe).kind, Choice::Kind::kSend);
  f.policy_host.report_client_gone(f.last, f.now);
  const DeferredActions deferred = f.policy_host.tick(f.now);
  ASSERT_EQ(deferred.cancellations.size(), settings().cancelling ? 1U : 0U);
  EXPECT_TRUE(deferred.choices.empty());
  const Choice after = f.report(0, Ending::kCancelled);
  EXPECT_TRUE(after.kind == Choice::Kind::kPending || after.kind == Choice::Kind::kEnded);
  EXPECT_EQ(f.policy_host.open_requests(), 0U);
}

TEST(PolicyHost, AttemptsEndByTheClientsDeadline) {
  Fixture f;
  const Choice choice = f.pick(kSafe, 100);
  ASSERT_EQ(choice.kind, Choice::Kind::kSend);
  EXPECT_LE(choice.deadline, f.now + 100);
}

// A request for which no outcome was reported by its due time is failed by the host.
TEST(PolicyHost, ARequestWithoutOutcomeFailsAtItsDueTime) {
  Fixture f;
  ASSERT_EQ(f.pick(kSafe, 100).kind, Choice::Kind::kSend);
  f.now += 99;
  EXPECT_TRUE(f.policy_host.tick(f.now).choices.empty());
  f.now += 3;
  const DeferredActions deferred = f.policy_host.tick(f.now);
  ASSERT_EQ(deferred.choices.size(), 1U);
  EXPECT_EQ(deferred.choices[0].kind, Choice::Kind::kFail);
  EXPECT_EQ(deferred.choices[0].request, f.last);
  EXPECT_NE(f.report(0, Ending::kServed).kind, Choice::Kind::kForward);
}

TEST(PolicyHost, TickReturnsWhenItIsDueNext) {
  Fixture f;
  DeferredActions deferred = f.policy_host.tick(f.now);
  ASSERT_GT(deferred.next, f.now);
  f.now = deferred.next;
  deferred = f.policy_host.tick(f.now);
  EXPECT_GT(deferred.next, f.now);
}

TEST(PolicyHost, TheListIsSubscribedToAtTheStartAndAfterTheWatchEnds) {
  Fixture f;
  for (const int most : {1, 60}) {  // tenths of a second
    bool asked = false;
    for (int i = 0; i < most && !asked; ++i) {
      f.now += 100;
      asked = f.policy_host.tick(f.now).start_watch;
    }
    EXPECT_TRUE(asked) << most;
    EXPECT_FALSE(f.policy_host.tick(f.now).start_watch);
    f.policy_host.report_watch_ended(f.now);
  }
}

TEST(PolicyHost, ADrainingOrGoneBackendGetsNoRequests) {
  Fixture f(2);
  List change;
  change.version = 1;
  change.backends = {list_of(2).backends[0]};
  for (const std::string health : {"draining", "gone", "some new word"}) {
    change.backends[0].health = health;
    f.policy_host.report_list(change, ListSource::kWatch, f.now);
    EXPECT_FALSE(f.policy_host.wanted(0)) << health;
    for (int i = 0; i < 4; ++i) {
      const Choice choice = f.pick(kSafe);
      ASSERT_EQ(choice.kind, Choice::Kind::kSend) << health;
      EXPECT_EQ(choice.backend, 1U) << health;
      f.report(0, Ending::kServed);
    }
    change.backends[0].health = "ready";
    f.policy_host.report_list(change, ListSource::kWatch, f.now);
    EXPECT_TRUE(f.policy_host.wanted(0));
  }
}

// A backend missing from a full list is gone; when it returns, its new address is used.
TEST(PolicyHost, AFullListReplacesTheKnownOne) {
  Fixture f(2);
  List whole = list_of(2);
  whole.backends.erase(whole.backends.begin());
  f.policy_host.report_list(whole, ListSource::kWatch, f.now);
  EXPECT_FALSE(f.policy_host.wanted(0));
  whole = list_of(2);
  whole.backends[0].dial = "127.0.0.1:9999";
  f.policy_host.report_list(whole, ListSource::kWatch, f.now);
  EXPECT_TRUE(f.policy_host.wanted(0));
  EXPECT_EQ(f.policy_host.dial(0), "127.0.0.1:9999");
  EXPECT_EQ(f.policy_host.backends(), 2U);
}

// The tables must not grow with every backend that ever was listed: numbers of gone backends are reused, but
// not while a request or a probe refers to them.
TEST(PolicyHost, NumbersOfGoneBackendsAreReusedOnceUnreferenced) {
  Fixture f(2);
  const Choice held = f.pick(kSafe);
  const RequestId request = f.last;
  ASSERT_EQ(held.kind, Choice::Kind::kSend);
  std::uint64_t version = 0;
  const auto replace = [&](const std::string& old_host, const std::string& host) {
    List change;
    change.version = ++version;
    change.backends.resize(2);
    change.backends[0].host = old_host;
    change.backends[0].health = "gone";
    change.backends[1] = list_of(1).backends[0];  // at an address that another backend had before
    change.backends[1].host = host;
    f.policy_host.report_list(change, ListSource::kWatch, f.now);
  };
  replace("s-0", "n-0");
  replace("s-1", "n-1");
  std::set<BackendId> met;
  for (int i = 2; i < 200; ++i) {
    replace("n-" + std::to_string(i - 2), "n-" + std::to_string(i));
    EXPECT_EQ(f.policy_host.backends(), 4U) << i;  // two, the one just gone and the one held
    const Choice choice = f.pick(kSafe);
    ASSERT_EQ(choice.kind, Choice::Kind::kSend);
    met.insert(choice.backend);
    f.report(0, Ending::kServed);
  }
  EXPECT_EQ(met.count(held.backend), 0U);
  EXPECT_LE(met.size(), 5U);
  f.last = request;
  EXPECT_EQ(f.report(0, Ending::kServed).kind, Choice::Kind::kForward);
  replace("n-198", "n-200");
  replace("n-199", "n-201");
  EXPECT_EQ(f.policy_host.backends(), 3U);
  // A backend that is first listed as gone gets no number.
  replace("never", "n-202");
  EXPECT_EQ(f.policy_host.backends(), 3U);
}

TEST(PolicyHost, KeyedRequestsAreRetriedInTheirZoneOnly) {
  Fixture f(1);
  List other;
  other.backends = list_of(1).backends;
  other.backends[0].host = "elsewhere";
  other.backends[0].site = "b";
  f.policy_host.report_list(other, ListSource::kWatch, f.now);
  ASSERT_EQ(f.pick(kKeyed).kind, Choice::Kind::kSend);
  EXPECT_EQ(f.report(0, Ending::kBroken).kind, Choice::Kind::kFail);
}

TEST(PolicyHost, WakesTheHostWhenTickHasWork) {
  Fixture f;
  int woken = 0;
  f.policy_host.on_deferred_action([&woken] { ++woken; });
  f.pick(kSafe);
  EXPECT_GT(woken, 0);
}

// ---- subsets ----

struct SubsetFixture {
  explicit SubsetFixture(int backends = 400, int size = 20)
      : policy_host(settings(), host(), 1, fleet(size)) {
    policy_host.start(list_of(backends), now);
  }
  static FleetOptions fleet(int size) {
    FleetOptions options;
    options.subset.emplace();
    options.subset->target = size;
    options.place.index = 3;
    options.place.nodes = 100;
    return options;
  }
  // The backends that requests are sent to, one request after the other; each is served at once.
  std::set<BackendId> used(int requests = 400) {
    std::set<BackendId> all;
    for (int i = 0; i < requests; ++i) {
      const Choice choice = policy_host.pick(++last, {kSafe, 0, now + 1000, -1, false}, now);
      if (choice.kind != Choice::Kind::kSend) continue;
      all.insert(choice.backend);
      policy_host.report(last, 0, Ending::kServed, 5, nullptr, now);
    }
    return all;
  }
  std::string host_of(BackendId backend) const {
    return "s-" + std::to_string(std::stoi(policy_host.dial(backend).substr(10)) - 9000);
  }
  void change(const std::string& host, const std::string& health) {
    List list;
    ListedBackend b;
    b.host = host;
    b.health = health;
    b.site.push_back('a');
    list.backends.push_back(b);
    unwanted = policy_host.report_list(list, ListSource::kWatch, now);
  }
  Millis now = 1.7e12;
  RequestId last = 0;
  std::vector<BackendId> unwanted;
  PolicyHost policy_host;
};

TEST(PolicyHostSubset, UsesItsSubsetAndAllOfASmallFleet) {
  SubsetFixture f;
  const auto counters = f.policy_host.subset_counters();
  ASSERT_TRUE(counters);
  EXPECT_EQ(counters->fleet, 400U);
  EXPECT_GE(counters->members, 10U);
  EXPECT_LE(counters->members, 36U);
  EXPECT_EQ(f.used().size(), counters->members);
  EXPECT_EQ(SubsetFixture(8).used().size(), 8U);  // fewer backends than the subset's size
}

// Rule "drains are kept", on a subset: a draining member gets no new requests at once, without waiting for
// the subset to be drawn anew, and another replaces it before its grace ends.
TEST(PolicyHostSubset, ADrainingMemberGetsNoRequestsAtOnceAndIsReplaced) {
  SubsetFixture f;
  const std::set<BackendId> before = f.used();
  const BackendId drained = *before.begin();
  f.change(f.host_of(drained), "draining");
  EXPECT_EQ(f.unwanted, std::vector<BackendId>{drained});
  EXPECT_EQ(f.used().count(drained), 0U);
  f.now += 101;
  f.policy_host.tick(f.now);
  EXPECT_EQ(f.used().count(drained), 0U);
  EXPECT_GE(f.policy_host.subset_counters()->members, before.size() * 7 / 10);
}

// A change among backends outside the subset leaves the subset as it is, or nearly.
TEST(PolicyHostSubset, AChangeOutsideTheSubsetReplacesFewMembers) {
  SubsetFixture f;
  const std::set<BackendId> before = f.used();
  std::set<std::string> members;
  for (const BackendId b : before) members.insert(f.host_of(b));
  int host = 0;
  while (members.count("s-" + std::to_string(host)) > 0) ++host;
  f.change("s-" + std::to_string(host), "gone");
  EXPECT_TRUE(f.unwanted.empty());
  f.now += 101;
  f.policy_host.tick(f.now);
  EXPECT_LE(f.policy_host.subset_counters()->changes, before.size() + 6);
}

// All members drain in one deploy: others replace them, and the subset is never empty while any backend is
// ready.
TEST(PolicyHostSubset, ASubsetWhoseMembersAllDrainIsDrawnAnew) {
  SubsetFixture f;
  for (int round = 0; round < 15; ++round) {
    for (const BackendId b : f.used()) {
      f.change(f.host_of(b), "draining");
      f.change(f.host_of(b), "gone");
    }
    f.now += 101;
    f.policy_host.tick(f.now);
    EXPECT_FALSE(f.used().empty()) << round;
  }
}

// Silent members provide no capacity: others are borrowed, and returned when the members answer again.
TEST(PolicyHostSubset, BorrowsWhileMembersAreSilent) {
  SubsetFixture f;
  const std::set<BackendId> before = f.used();
  const auto probe_all = [&](Ending ending) {
    for (const BackendId b : before) {
      for (int n = 0; n < 3; ++n) f.policy_host.report_probe(b, ending, 250, nullptr, f.now);
    }
    f.now += 101;
    f.policy_host.tick(f.now);
  };
  probe_all(Ending::kTimeout);
  EXPECT_GT(f.policy_host.subset_counters()->borrowed, 0U);
  EXPECT_GT(f.policy_host.subset_counters()->members, before.size());
  probe_all(Ending::kServed);
  EXPECT_EQ(f.policy_host.subset_counters()->borrowed, 0U);
  EXPECT_EQ(f.policy_host.subset_counters()->members, before.size());
}

// Silences must not add up over a backend's absence: after a return they are counted from zero.
TEST(PolicyHostSubset, SilencesBeforeAMembersAbsenceDoNotCount) {
  SubsetFixture f;
  const std::set<BackendId> before = f.used();
  const auto silent = [&] {
    for (const BackendId b : before) {
      for (int n = 0; n < 3; ++n) f.policy_host.report_probe(b, Ending::kTimeout, 250, nullptr, f.now);
    }
  };
  const auto all = [&](const std::string& health) {
    for (const BackendId b : before) f.change(f.host_of(b), health);
    f.now += 101;
    f.policy_host.tick(f.now);
  };
  silent();
  all("draining");
  all("ready");
  EXPECT_EQ(f.policy_host.subset_counters()->borrowed, 0U);
  silent();
  f.now += 101;
  f.policy_host.tick(f.now);
  EXPECT_GT(f.policy_host.subset_counters()->borrowed, 0U);
}

}  // namespace
}  // namespace shorelead::node
