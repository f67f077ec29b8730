// Rule "no effect twice", for PolicyHost with the decision module: every ending with every effect, for one
// attempt and for two.
#include <gtest/gtest.h>

#include "node/policy_host.h"

namespace shorelead::node {
namespace {

constexpr Millis kWindow = 300;

Settings settings(DedupGroup group) {
  Settings s;
  for (const Effect effect : {Effect::kSafe, Effect::kUnsafe, Effect::kKeyed}) {
    RequestClass c;
    c.effect = effect;
    c.group = group;
    c.dedup_window = kWindow;
    c.aim = 2000;
    c.deadline = 3000;
    s.classes.push_back(c);
  }
  s.list_on_request = true;
  s.probing = false;
  s.max_attempts = 3;
  return s;
}

List two_zones() {
  List list;
  list.whole = true;
  for (int i = 0; i < 8; ++i) {
    ListedBackend b;
    b.host = "s-" + std::to_string(i);
    b.dial = "127.0.0.1:" + std::to_string(9000 + i);
    b.health = "ready";
    b.site.push_back(i % 2 == 0 ? 'a' : 'b');
    list.backends.push_back(b);
  }
  return list;
}

struct Fixture {
  explicit Fixture(DedupGroup group) : policy_host(settings(group), host(), 1) {
    policy_host.start(two_zones(), now);
  }
  static HostSettings host() {
    HostSettings h;
    h.zones = {"a", "b"};
    h.classes = {"safe", "unsafe", "keyed"};
    return h;
  }
  Millis now = 1.7e12;
  PolicyHost policy_host;
};

// By the protocol, a request whose attempt ended so cannot have run.
bool cannot_have_run(Ending ending) {
  switch (ending) {
    case Ending::kRejected:
    case Ending::kRefused:
    case Ending::kConnectTimeout:
    case Ending::kNoDescriptor:
    case Ending::kBrokenUnsent:
    case Ending::kStoppedUnsent:
    case Ending::kNotSent:
      return true;
    default:
      return false;
  }
}

const Ending kEndings[] = {Ending::kErred,          Ending::kRejected,     Ending::kRefused,
                           Ending::kConnectTimeout, Ending::kNoDescriptor, Ending::kBrokenUnsent,
                           Ending::kStoppedUnsent,  Ending::kBroken,       Ending::kMalformed,
                           Ending::kTimeout,        Ending::kCancelled,    Ending::kPeerClosed,
                           Ending::kIdle,           Ending::kEvicted,      Ending::kSilent,
                           Ending::kDone,           Ending::kNotSent};

// An attempt that may have run.
struct Run {
  Millis at = 0;
  int zone = 0;
};

// Plays one request whose attempts end with `first` and `second`, each `takes` ms after it was decided.
void play(int request_class, DedupGroup group, Ending first, Ending second, Millis takes) {
  Fixture a(group);
  const Effect effect = settings(group).classes[static_cast<std::size_t>(request_class)].effect;
  std::vector<Run> runs;
  Choice choice = a.policy_host.pick(1, {request_class, 0, a.now + 3000, -1, false}, a.now);
  for (const Ending ending : {first, second, Ending::kBroken}) {
    if (choice.kind != Choice::Kind::kSend) break;
    const int zone = static_cast<int>(choice.backend % 2);
    for (const Run& run : runs) {
      EXPECT_NE(effect, Effect::kUnsafe) << name_of(first) << ' ' << name_of(second);
      if (effect != Effect::kKeyed) continue;
      EXPECT_LT(a.now, run.at + kWindow);
      EXPECT_LE(choice.begin_by, run.at + kWindow) << "to be written within the window too";
      if (group == DedupGroup::kZone) {
        EXPECT_EQ(zone, run.zone);
      }
    }
    if (runs.empty() || effect != Effect::kKeyed) {
      EXPECT_GT(choice.begin_by, choice.deadline);
    }
    if (!cannot_have_run(ending)) runs.push_back({a.now, zone});
    const int attempt = choice.attempt;
    a.now += takes;
    choice = a.policy_host.report(1, attempt, ending, takes, nullptr, a.now);
  }
  if (choice.kind == Choice::Kind::kRefuse && !runs.empty()) {
    EXPECT_NE(effect, Effect::kUnsafe) << name_of(first) << ' ' << name_of(second);
    if (effect == Effect::kKeyed) {
      EXPECT_EQ(group, DedupGroup::kAll);
    }
  }
}

TEST(Endings, NoEffectTwiceWhateverEndsTheAttempts) {
  for (const DedupGroup group : {DedupGroup::kAll, DedupGroup::kZone}) {
    for (int request_class = 0; request_class < 3; ++request_class) {
      for (const Ending first : kEndings) {
        for (const Ending second : kEndings) {
          for (const Millis takes : {1.0, 170.0, kWindow}) play(request_class, group, first, second, takes);
        }
      }
    }
  }
}

// The number of attempts is bounded by the settings in force when the request arrived; later requests use the
// new ones.
TEST(Endings, ARequestKeepsTheMaximumOfAttemptsItArrivedWith) {
  Fixture a(DedupGroup::kAll);
  const auto attempts = [&a](RequestId request) {
    int sent = 0;
    Choice choice = a.policy_host.pick(request, {0, 0, a.now + 3000, -1, false}, a.now);
    for (; choice.kind == Choice::Kind::kSend; ++sent) {
      if (request == 1 && sent == 0) {
        Settings fewer = settings(DedupGroup::kAll);
        fewer.max_attempts = 1;
        a.policy_host.adopt(fewer, Fixture::host(), a.now);
      }
      choice = a.policy_host.report(request, choice.attempt, Ending::kErred, 1, nullptr, a.now);
    }
    return sent;
  };
  EXPECT_EQ(attempts(1), 3);
  EXPECT_EQ(attempts(2), 1);
}

// Without parallel attempts, the second attempt is sent only when the first has ended, however long that
// takes.
TEST(Endings, NoParallelAttemptWhereThatIsNotAllowed) {
  Fixture a(DedupGroup::kAll);
  ASSERT_EQ(a.policy_host.pick(1, {0, 0, a.now + 3000, -1, false}, a.now).kind, Choice::Kind::kSend);
  for (const Millis end = a.now + 1000; a.now < end; a.now += 10) {
    for (const Choice& choice : a.policy_host.tick(a.now).choices)
      EXPECT_NE(choice.kind, Choice::Kind::kSend);
  }
  EXPECT_EQ(a.policy_host.report(1, 0, Ending::kErred, 1000, nullptr, a.now).kind, Choice::Kind::kSend);
}

}  // namespace
}  // namespace shorelead::node
