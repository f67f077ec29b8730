// Bindings over random histories of snapshots, requests, ends of requests and time: no request is sent where
// its slot is not open, and no slot is reported quiet too early. Wait times by example.
#include "affinity/bindings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "base/random.h"

namespace shorelead::affinity {
namespace {

constexpr std::size_t kSlots = 4;
constexpr int kMaxWaiting = 3;
constexpr Millis kFinish = 100;
constexpr Millis kWait = 60;

Rule a_rule() {
  Rule rule;
  rule.name = "keys";
  rule.must = true;
  rule.slots = kSlots;
  rule.finish = kFinish;
  rule.wait = kWait;
  return rule;
}

// The host of one process, with a reference model that each decision is checked against.
struct World {
  explicit World(std::uint64_t seed) : random(seed), bindings({a_rule()}, kMaxWaiting) {
    snapshot.incarnation = 1;
    fleet::SlotMap& map = snapshot.affinity[map_name(a_rule())];
    for (std::size_t n = 0; n < kSlots; ++n) map.slots.push_back({n % 2 == 0 ? "a" : "b", true, "", 1});
    bindings.apply_snapshot(snapshot, now);
  }

  std::vector<fleet::Slot>& slots() { return snapshot.affinity.begin()->second.slots; }
  std::uint64_t key(std::size_t slot) { return std::uint64_t{slot} << 62; }
  bool open(std::size_t slot, const std::string& backend) {
    return slots()[slot].open && slots()[slot].backend == backend;
  }
  Bindings::StatusLookup lookup() {
    return [this](Scope, const std::string& backend) -> std::optional<UnitStatus> {
      if (unknown.count(backend) > 0) return std::nullopt;
      return draining.count(backend) > 0 ? UnitStatus::kDraining : UnitStatus::kReady;
    };
  }

  struct Sent {
    std::size_t slot;
    std::string backend;
    std::uint64_t incarnation;
    Millis closed_at;
  };
  void check_result(std::size_t slot, const Bindings::RoutingResult& result) {
    if (result.action == RoutingAction::kOnly) {
      RC_ASSERT(valid);
      RC_ASSERT(open(slot, *result.unit));
      RC_ASSERT(draining.count(*result.unit) == 0U && unknown.count(*result.unit) == 0U);
      RC_ASSERT(sent.emplace(result.place, Sent{slot, *result.unit, snapshot.incarnation, -1}).second);
    } else {
      RC_ASSERT(result.action == RoutingAction::kRefuse);
      RC_ASSERT(result.unit == nullptr);
    }
  }
  void arrive() {
    const std::size_t slot = random.below(kSlots);
    ++arrived;
    const auto result = bindings.arrive(arrived, {0, true, key(slot)}, valid, now + 50, now, lookup());
    RC_ASSERT(result.reason != RoutingReason::kQueueFull || waiting.size() == std::size_t{kMaxWaiting});
    if (result.action != RoutingAction::kWait) return check_result(slot, result);
    RC_ASSERT(waiting.size() < std::size_t{kMaxWaiting});
    waiting[result.place] = {slot, now};
  }
  void reconsider_waiting() {
    const std::vector<int> all = bindings.waiting();
    RC_ASSERT(all.size() == waiting.size());
    for (const int place : all) {
      const auto [slot, since] = waiting.at(place);
      const auto result = bindings.reconsider(place, valid, now, lookup());
      if (result.action == RoutingAction::kWait) {
        RC_ASSERT(now - since < 50);  // the client's deadline comes before the rule's wait time
        continue;
      }
      waiting.erase(place);
      check_result(slot, result);
    }
  }
  void apply_snapshot() {
    for (auto& [place, one] : sent) {
      if (one.incarnation == snapshot.incarnation && open(one.slot, one.backend)) {
        if (cancelled.count(place) == 0) one.closed_at = -1;
      } else if (one.closed_at < 0) {
        one.closed_at = now;
      }
    }
    bindings.apply_snapshot(snapshot, now);
  }
  void cancel_due() {
    for (const int place : bindings.cancel_due(valid, now, lookup())) {
      const Sent& one = sent.at(place);
      RC_ASSERT(cancelled.insert(place).second);
      const bool lost = !valid || one.incarnation != snapshot.incarnation;
      RC_ASSERT(lost || (one.closed_at >= 0 && now - one.closed_at >= kFinish));
    }
    for (const auto& [place, one] : sent) {
      const bool lost = !valid || one.incarnation != snapshot.incarnation;
      if (lost || (one.closed_at >= 0 && now - one.closed_at >= kFinish))
        RC_ASSERT(cancelled.count(place) == 1U);
    }
  }
  void end_one() {
    if (sent.empty()) return;
    auto it = sent.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random.below(sent.size())));
    cancelled.erase(it->first);
    bindings.release(it->first);
    sent.erase(it);
  }
  void check() {
    bool quiet = true;
    for (const auto& [place, one] : sent) {
      const bool its = one.incarnation == snapshot.incarnation && open(one.slot, one.backend);
      quiet = quiet && its && one.closed_at < 0;
      RC_ASSERT(bindings.may_send(place, valid) == (valid && its && cancelled.count(place) == 0));
    }
    RC_ASSERT(bindings.quiet() == quiet);
    RC_ASSERT(bindings.busy() == !(sent.empty() && waiting.empty()));
  }
  void change() {
    fleet::Slot& slot = slots()[random.below(kSlots)];
    if (slot.open) {
      slot.open = false;
    } else if (bindings.quiet() ||
               random.below(4) == 0) {  // also a plan that skips epochs: requests in flight stay closed
      slot = {random.below(2) == 0 ? "a" : "b", true, "", 1};
    }
    if (random.below(8) == 0) ++snapshot.incarnation;
    apply_snapshot();
  }
  void step() {
    now += static_cast<Millis>(random.below(20));
    const std::string backend = random.below(2) == 0 ? "a" : "b";
    switch (random.below(10)) {
      case 0:
        change();
        break;
      case 1:
        valid = !valid;
        break;
      case 2:
        draining.erase(backend) == 0 ? (void)draining.insert(backend) : (void)0;
        break;
      case 3:
        unknown.erase(backend) == 0 ? (void)unknown.insert(backend) : (void)0;
        break;
      case 4:
        end_one();
        break;
      case 5:
        reconsider_waiting();
        break;
      case 6:
        cancel_due();
        break;
      default:
        arrive();
        break;
    }
    check();
  }

  Random random;
  Bindings bindings;
  fleet::Snapshot snapshot;
  std::set<std::string> draining, unknown;
  bool valid = true;
  Millis now = 1000;
  std::uint32_t arrived = 0;
  std::map<int, Sent> sent;
  std::set<int> cancelled;
  std::map<int, std::pair<std::size_t, Millis>> waiting;
};

RC_GTEST_PROP(Bindings, RequestsUseOnlyOpenSlotsAndQuietIsNeverReportedEarly, (std::uint64_t seed)) {
  World world(seed);
  for (int n = 0; n < 300; ++n) world.step();
  // All requests end, and each is counted once.
  while (!world.sent.empty()) world.end_one();
  world.now += kWait;
  world.reconsider_waiting();
  while (!world.sent.empty()) world.end_one();
  world.check();
  RC_ASSERT(world.bindings.quiet());
  std::uint64_t sum = 0;
  for (const std::uint64_t count : world.bindings.counters(0).by) sum += count;
  RC_ASSERT(sum == world.arrived);
}

// A waiting request is refused while the rejection can still reach its client: 100 ms before the deadline, or
// a quarter of the time left if that is less.
TEST(Bindings, WaitingRequestIsRefusedBeforeItsDeadline) {
  Rule rule = a_rule();
  rule.wait = 10000;
  Bindings bindings({rule}, kMaxWaiting);
  fleet::Snapshot snapshot;
  snapshot.incarnation = 1;
  snapshot.affinity[map_name(rule)].slots.assign(kSlots, {"a", false, "b", 1});
  bindings.apply_snapshot(snapshot, 0);
  const Bindings::StatusLookup lookup = [](Scope, const std::string&) { return UnitStatus::kReady; };
  for (const auto& [left, refused_at] : std::map<Millis, Millis>{{1000, 900}, {100, 75}}) {
    const auto result = bindings.arrive(1, {0, true, 0}, true, left, 0, lookup);
    ASSERT_EQ(result.action, RoutingAction::kWait);
    EXPECT_EQ(bindings.reconsider(result.place, true, refused_at - 1, lookup).action, RoutingAction::kWait);
    EXPECT_EQ(bindings.reconsider(result.place, true, refused_at, lookup).action, RoutingAction::kRefuse);
  }
}

}  // namespace
}  // namespace shorelead::affinity
