// One node has one reserve: through reloads that make another fleet admission, and through processes that
// replace one another, however these end. The store is away throughout, so that the reserve is all there is.
#include "node/fleet_admissions.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>

#include "node/language_binding.h"

namespace shorelead::node {
namespace {

// A rate whose reserve is full again within a millisecond: who has none is turned away each time.
Config config_of(int burst) {
  const std::string text =
      "node n { listen 127.0.0.1:8081; seed 1f }\n"
      "class look { effect safe; aim 100 ms; give_up 1 s }\n"
      "pool main { box a { dial 127.0.0.1:9001 } }\n"
      "route r { path /look/*; class look; pool main }\n"
      "fleet { store 127.0.0.1:9; prefix \"/fleet/\"; processes 2 }\n"
      "budget all { kind rate; rate 1000000 rps; reserve 50 %; burst " +
      std::to_string(burst) + " }\n";
  language::Reader reader;
  reader.read = [&text](const std::string&) { return std::optional(text); };
  reader.glob = [](const std::string& path) { return std::vector{path}; };
  return load_shore("t.shore", {}, reader);
}

struct Process {
  Process(Loop& loop, bool beside) : admissions(loop, beside, [](RequestId) {}) { follow(40); }
  // A reload, or the start.
  std::shared_ptr<FleetAdmission> follow(int burst) {
    auto next = std::make_shared<RoutingSnapshot>();
    const Config config = config_of(burst);
    next->admission = admissions.make(config, snapshot.get());
    admissions.switch_to(snapshot ? *snapshot : *next, *next);
    snapshot = next;
    return next->admission;
  }

  std::shared_ptr<RoutingSnapshot> snapshot;
  FleetAdmissions admissions;
};

bool lets_in(FleetAdmission& admission) { return admission.admit({}, 1000).refused == 0; }

// Some time is given, as a bucket that begins has nothing yet; the harness ends what never comes.
void expect_one_has_it(FleetAdmission& has, const std::vector<FleetAdmission*>& others) {
  while (!lets_in(has)) std::this_thread::yield();
  for (int n = 0; n < 100; ++n) {
    for (FleetAdmission* other : others) ASSERT_FALSE(lets_in(*other));
  }
}

TEST(FleetAdmissions, AReloadPassesTheReserveOn) {
  Loop loop;
  Process process(loop, false);
  const auto first = process.snapshot->admission;
  expect_one_has_it(*first, {});
  EXPECT_EQ(process.follow(40), first) << "nothing of it changed";
  // Made, and not yet in force.
  const auto waits = process.admissions.make(config_of(60), process.snapshot.get());
  expect_one_has_it(*first, {waits.get()});
  const auto second = process.follow(80);
  expect_one_has_it(*second, {first.get()});
}

TEST(FleetAdmissions, ASuccessorHasTheReserveOnceTheOneBeforeCededItOrEnded) {
  Loop loop;
  Process old(loop, false);
  Process next(loop, true);
  expect_one_has_it(*old.snapshot->admission, {next.snapshot->admission.get()});
  next.follow(60);  // a reload meanwhile
  expect_one_has_it(*old.snapshot->admission, {next.snapshot->admission.get()});
  EXPECT_EQ(old.admissions.give_reserve(), 0) << "nothing at once";
  EXPECT_FALSE(lets_in(*next.snapshot->admission)) << "not told yet";
  const auto before = old.snapshot->admission;
  old.follow(60);
  EXPECT_FALSE(lets_in(*old.snapshot->admission) || lets_in(*before));
  next.admissions.take_reserve(0);
  expect_one_has_it(*next.snapshot->admission, {old.snapshot->admission.get()});
  // The successor is gone: the old one goes on with the fleet admission that it has.
  const auto kept = old.snapshot->admission;
  old.admissions.take_reserve(0);
  expect_one_has_it(*kept, {});
}

}  // namespace
}  // namespace shorelead::node
