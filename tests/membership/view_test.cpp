// The membership view in simulated time: single cases, and random histories with cut watches, compactions,
// false answers and restarts of the registry, compared with a plain record of what was delivered.
#include "membership/view.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace shorelead::membership {
namespace {

std::string b(int n) { return std::string("b").append(std::to_string(n)); }

Member backend(const std::string& host, const std::string& health = "ready", Millis started = 0,
               const std::string& dial = "") {
  Member m;
  m.host = host;
  m.dial = dial.empty() ? std::string(host).append(":1") : dial;
  m.health = health;
  m.started = started;
  return m;
}
Entry at(std::uint64_t revision, const Member& member) { return {member, revision, false}; }
View::Change put(std::uint64_t revision, const Member& member) { return {{member, revision, false}, false}; }
View::Change lost(std::uint64_t revision, const std::string& host) {
  return {{backend(host, "gone"), revision, false}, true};
}

std::string text(const Update& update) {
  std::string all;
  for (const Member& m : update.changes)
    all.append(all.empty() ? "" : " ").append(m.host).append("=").append(m.health);
  return all;
}

std::vector<Entry> ten(int from = 0) {
  std::vector<Entry> all;
  for (int n = from; n < 10; ++n) all.push_back(at(1, backend(b(n))));
  return all;
}

// After a compaction a snapshot shows losses, drains and a backend that returned cold under its old name.
TEST(View, SnapshotAfterAGapYieldsOnlyTheDifference) {
  View view;
  view.snapshot(0, 7, 5, ten(), 0);
  std::vector<Entry> entries = ten(2);
  entries.push_back(at(8, backend("b1", "ready", 900)));
  entries[0] = at(7, backend("b2", "draining"));
  EXPECT_EQ(text(view.snapshot(0, 7, 9, entries, 100)), "b1=ready b2=draining b0=gone");
  EXPECT_EQ(view.ready(), 8U);
}

TEST(View, OlderChangesNeverOverwriteNewer) {
  View view;
  view.snapshot(0, 7, 5, ten(), 0);
  view.change(0, {put(9, backend("b1", "draining"))}, 10);
  EXPECT_EQ(text(view.change(0, {put(8, backend("b1"))}, 20)), "");
  EXPECT_EQ(text(view.change(0, {put(9, backend("b1"))}, 20)), "");  // the same once more
  const Update stale = view.snapshot(0, 7, 8, ten(), 30);
  EXPECT_TRUE(stale.behind);
  EXPECT_EQ(text(stale), "");
  view.change(0, {lost(10, "b1")}, 40);
  EXPECT_EQ(text(view.change(0, {put(9, backend("b1"))}, 50)), "");  // the tombstone has a newer revision
  EXPECT_EQ(text(view.change(0, {put(11, backend("b1", "ready", 60))}, 60)), "b1=ready");
}

// An empty or halved snapshot is held and fetched again; the loss takes effect only once it has lasted.
TEST(View, LossBeyondTheFloorIsHeld) {
  Options options;
  View view(options);
  view.snapshot(0, 7, 5, ten(), 0);
  Update update = view.snapshot(0, 7, 6, {}, 1000);
  EXPECT_EQ(text(update), "");
  EXPECT_TRUE(update.refetch);
  EXPECT_EQ(view.held(), 10U);
  EXPECT_EQ(view.next(), 1000 + options.ask_every);
  EXPECT_TRUE(view.tick(*view.next()).refetch);
  EXPECT_EQ(text(view.snapshot(0, 7, 6, {}, 1000 + options.hold - 1)), "");
  // The correct list returns, with the old revisions.
  EXPECT_EQ(text(view.snapshot(0, 7, 7, ten(), 9000)), "");
  EXPECT_EQ(view.held(), 0U);
  EXPECT_EQ(view.counters().restored, 10U);
  view.snapshot(0, 7, 8, {}, 20000);
  update = view.snapshot(0, 7, 8, {}, 20000 + options.hold);
  EXPECT_EQ(update.changes.size(), 10U);
  EXPECT_EQ(view.size(), 0U);
}

// Leases that all expire at once while the registry is down are held too: at most five of ten take effect at
// once. But drains take effect whatever is held, and a held backend that is listed again is restored.
TEST(View, LossesInAWindowAddUpAndDrainsAlwaysTakeEffect) {
  View view;
  view.snapshot(0, 7, 5, ten(), 0);
  std::string gone;
  for (int n = 0; n < 8; ++n) {
    gone += text(view.change(0, {lost(static_cast<std::uint64_t>(10 + n), b(n))}, 100 + n)) + ";";
  }
  EXPECT_EQ(gone, "b0=gone;b1=gone;b2=gone;b3=gone;b4=gone;;;;");
  EXPECT_EQ(view.held(), 3U);
  EXPECT_EQ(
      text(view.change(0, {put(30, backend("b8", "draining")), put(31, backend("b9", "draining"))}, 200)),
      "b8=draining b9=draining");
  EXPECT_EQ(text(view.change(0, {put(32, backend("b5", "draining"))}, 210)), "b5=draining");
  EXPECT_EQ(text(view.change(0, {put(33, backend("b6"))}, 220)), "");  // it was published as ready all along
  EXPECT_EQ(view.held(), 1U);
  EXPECT_EQ(text(view.believe(230)), "b7=gone");
}

TEST(View, FewBackendsOrAZeroFloorHoldNothing) {
  View few;
  few.snapshot(0, 7, 5, {at(1, backend("a")), at(1, backend("b"))}, 0);
  EXPECT_EQ(text(few.snapshot(0, 7, 6, {}, 10)), "a=gone b=gone");
  Options options;
  options.floor = 0;
  View none(options);
  none.snapshot(0, 7, 5, ten(), 0);
  EXPECT_EQ(none.snapshot(0, 7, 6, {}, 10).changes.size(), 10U);
}

// A registry restarts with an older history in the middle of a deployment, which is a new epoch. Backends
// that were draining or gone stay so unless they started later or are changed in the new epoch.
TEST(View, NewEpochDoesNotBringBackDrainedBackends) {
  View view;
  view.snapshot(0, 7, 50, ten(), 0);
  view.change(0,
              {put(51, backend("b0", "draining")), put(52, backend("b1", "draining")),
               put(54, backend("b2", "draining"))},
              10);
  view.change(0, {lost(53, "b1")}, 20);
  std::vector<Entry> old = ten();
  old[2] = at(1, backend("b2", "ready", 15));
  EXPECT_EQ(text(view.snapshot(0, 8, 40, old, 100)), "b2=ready");
  EXPECT_EQ(view.counters().kept_out, 2U);
  EXPECT_EQ(text(view.snapshot(0, 8, 41, old, 200)), "");
  EXPECT_EQ(text(view.change(0, {put(42, backend("b0"))}, 300)), "b0=ready");
}

// An address passes to a new ID: the old one gets nothing more, though its source still lists it.
TEST(View, AddressBelongsToOneBackend) {
  View view;
  view.snapshot(0, 7, 5, {at(1, backend("old", "ready", 10, "x:1")), at(2, backend("other"))}, 0);
  EXPECT_EQ(text(view.change(0, {put(6, backend("new", "ready", 500, "x:1"))}, 10)), "old=gone new=ready");
  EXPECT_EQ(text(view.change(0, {put(7, backend("older", "ready", 5, "x:1"))}, 20)), "");
  EXPECT_EQ(view.ready(), 2U);
}

// A backend that keeps coming and going is published as draining for growing times; drains act at once.
TEST(View, FlappingBackendReturnsWithADelay) {
  Options options;
  options.flaps = 2;
  View view(options);
  view.snapshot(0, 7, 5, ten(), 0);
  std::uint64_t revision = 10;
  const auto flap = [&](Millis now) {
    const std::string drained = text(view.change(0, {put(revision++, backend("b3", "draining"))}, now));
    return drained + " " + text(view.change(0, {put(revision++, backend("b3"))}, now + 1));
  };
  EXPECT_EQ(flap(100), "b3=draining b3=ready");
  EXPECT_EQ(flap(200), "b3=draining b3=ready");
  EXPECT_EQ(flap(300), "b3=draining ");
  EXPECT_EQ(view.next(), 301 + options.flap_wait);
  EXPECT_EQ(text(view.tick(300 + options.flap_wait)), "");
  EXPECT_EQ(text(view.tick(301 + options.flap_wait)), "b3=ready");
}

// The first source that names a backend describes it; a drain by any counts, and no other source undoes it.
TEST(View, FirstSourceDescribesAndAnySourceDrains) {
  View view({}, 2);
  Member far = backend("a");
  far.site = "far";
  Member near = backend("a");
  near.site = "near";
  view.snapshot(1, 1, 1, {at(1, far), at(1, backend("only"))}, 0);
  EXPECT_EQ(text(view.snapshot(0, 9, 3, {at(1, near)}, 10)), "a=ready");
  EXPECT_EQ(view.members()[0].site, "near");
  EXPECT_EQ(text(view.change(1, {put(2, backend("a", "draining"))}, 20)), "a=draining");
  EXPECT_EQ(text(view.change(1, {put(3, backend("a"))}, 30)), "a=ready");
  view.change(0, {put(4, backend("a", "draining"))}, 40);
  EXPECT_EQ(text(view.change(0, {lost(5, "a")}, 50)), "a=gone");
  EXPECT_EQ(text(view.change(1, {put(4, backend("a"))}, 60)), "");
}

TEST(View, UnreadableEntryLeavesTheBackendUnchanged) {
  View view;
  view.snapshot(0, 7, 5, ten(), 0);
  std::vector<Entry> entries = ten();
  entries[4].unreadable = true;
  entries[4].revision = 6;
  EXPECT_EQ(text(view.snapshot(0, 7, 6, entries, 10)), "");
  EXPECT_EQ(view.ready(), 10U);
}

// Random histories, compared with what happened in the registry (each backend's last change) and with what
// was delivered of it. No drain that was delivered and not overturned by a newer change may be missed.
RC_GTEST_PROP(ViewModel, ConvergesWithoutMissingADrain, ()) {
  Options options;
  options.floor = *rc::gen::element(0.0, 0.5);
  options.flaps = 0;
  View view(options);
  std::map<std::string, Entry> truth;          // as in the registry
  std::vector<std::vector<View::Change>> log;  // by revision, from 1; those not yet compacted
  std::uint64_t revision = 0;
  std::uint64_t compacted = 0;
  std::uint64_t delivered = 0;
  std::uint64_t highest = 0;
  bool watching = false;
  Millis now = 0;
  std::map<std::string, std::string> shown;  // sum of the changes
  const auto take = [&](const Update& update) {
    for (const Member& m : update.changes) {
      if (m.health == "gone") {
        RC_ASSERT(shown.erase(m.host) == 1U || m.health == "gone");
      } else {
        shown[m.host] = m.health;
      }
    }
    // The revision never goes back.
    RC_ASSERT(view.revision(0) >= highest);
    highest = view.revision(0);
  };
  const auto whole = [&] {
    std::vector<Entry> entries;
    for (const auto& [host, entry] : truth) entries.push_back(entry);
    return entries;
  };
  const auto snapshot = [&] {
    take(view.snapshot(0, 1, revision, whole(), now));
    delivered = revision;
    watching = true;
  };
  snapshot();  // every source starts with a snapshot
  const int steps = *rc::gen::inRange(1, 120);
  for (int n = 0; n < steps; ++n) {
    now += *rc::gen::inRange(1, 400);
    const std::string host = b(*rc::gen::inRange(0, 8));
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
      case 1:
      case 2:
      case 3: {  // a change
        ++revision;
        const auto known = truth.find(host);
        const int what = *rc::gen::inRange(0, 4);
        if (known != truth.end() && what == 0) {
          truth.erase(known);
          log.push_back({lost(revision, host)});
        } else {
          const Entry entry =
              at(revision, backend(host, what == 1 ? "draining" : "ready", what == 2 ? now : 0));
          truth[host] = entry;
          log.push_back({{entry, false}});
        }
        break;
      }
      case 4:
      case 5:
      case 6:
        if (!watching) break;  // events are delivered, some of them twice
        while (delivered < revision) {
          if (delivered < compacted) {
            watching = false;
            break;
          }
          take(view.change(0, log[delivered], now));
          if (*rc::gen::inRange(0, 4) == 0 && delivered > compacted) {
            take(view.change(0, log[delivered - 1], now));
          }
          ++delivered;
        }
        break;
      case 7:
        watching = false;  // cut
        compacted = std::max(compacted, *rc::gen::inRange<std::uint64_t>(0, revision + 1));
        break;
      case 8:
        if (delivered >= compacted && *rc::gen::arbitrary<bool>()) {
          watching = true;
        } else {
          snapshot();
        }
        break;
      default:  // a stale member answers with a false, empty list, or time passes
        if (*rc::gen::arbitrary<bool>() && delivered > 0) {
          const Update update = view.snapshot(0, 1, delivered - 1, {}, now);
          RC_ASSERT(update.behind);
          take(update);
        } else {
          take(view.tick(now));
        }
    }
  }
  // No more faults: one snapshot, and another after the hold time.
  snapshot();
  now += options.hold;
  snapshot();
  std::map<std::string, std::string> wanted;
  for (const auto& [host, entry] : truth) wanted[host] = entry.member.health;
  RC_ASSERT(shown == wanted);
  std::size_t ready = 0;
  for (const auto& [host, health] : wanted) ready += health == "ready";
  RC_ASSERT(view.ready() == ready);
  RC_ASSERT(view.size() == wanted.size());
}

// Registries that restart with any older history, in any order of epochs, bring back no backend that its own
// entry reported draining or gone. Only a later start or a change in the new epoch does.
RC_GTEST_PROP(ViewModel, NoEpochBringsBackDrainedBackends, ()) {
  Options options;
  options.floor = 0;
  options.flaps = 0;
  View view(options);
  std::set<std::string> left;
  std::uint64_t revision = 100;
  std::uint64_t epoch = 1;
  view.snapshot(0, epoch, revision, ten(), 0);
  Millis now = 0;
  for (int n = *rc::gen::inRange(1, 60); n > 0; --n) {
    now += 10;
    const std::string host = b(*rc::gen::inRange(0, 10));
    const int what = *rc::gen::inRange(0, 4);
    Update update;
    if (what == 0) {
      update = view.change(0, {put(++revision, backend(host, "draining"))}, now);
      left.insert(host);
    } else if (what == 1) {
      update = view.change(0, {lost(++revision, host)}, now);
    } else if (what == 2) {
      update = view.change(0, {put(++revision, backend(host))}, now);
      left.erase(host);
    } else {
      revision = *rc::gen::inRange<std::uint64_t>(20, 100);
      update = view.snapshot(0, ++epoch, revision, ten(), now);
    }
    for (const Member& m : view.members()) RC_ASSERT(left.count(m.host) == 0 || m.health == "draining");
  }
}

}  // namespace
}  // namespace shorelead::membership
