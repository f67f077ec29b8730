// A node has one reserve, also over reloads that make another fleet admission and over processes that replace
// one another. The store is unreachable throughout, so that requests are admitted by the reserve alone.
#include "node/fleet_admissions.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <thread>

#include "node/language_binding.h"

namespace shorelead::node {
namespace {

// A rate so high that its reserve refills within a millisecond: without the reserve each request is refused.
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
  Process(Loop& loop, bool successor) : admissions(loop, successor, [](RequestId) {}) { reload(40); }
  // A reload, or the start.
  std::shared_ptr<FleetAdmission> reload(int burst) {
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

bool admits(FleetAdmission& admission) { return admission.admit({}, 1000).refused == 0; }

// Retries, as a new bucket starts empty; the test's time-out ends it if the reserve never comes.
void expect_only_one_has_reserve(FleetAdmission& has, const std::vector<FleetAdmission*>& others) {
  while (!admits(has)) std::this_thread::yield();
  for (int n = 0; n < 100; ++n) {
    for (FleetAdmission* other : others) ASSERT_FALSE(admits(*other));
  }
}

TEST(FleetAdmissions, AReloadMovesTheReserveToTheNewFleetAdmission) {
  Loop loop;
  Process process(loop, false);
  const auto first = process.snapshot->admission;
  expect_only_one_has_reserve(*first, {});
  EXPECT_EQ(process.reload(40), first) << "nothing of it changed";
  // Made but not in force.
  const auto pending = process.admissions.make(config_of(60), process.snapshot.get());
  expect_only_one_has_reserve(*first, {pending.get()});
  const auto second = process.reload(80);
  expect_only_one_has_reserve(*second, {first.get()});
}

TEST(FleetAdmissions, TheReserveMovesToASuccessorOnHandoverAndBackWhenThatIsGone) {
  Loop loop;
  Process old(loop, false);
  Process next(loop, true);
  expect_only_one_has_reserve(*old.snapshot->admission, {next.snapshot->admission.get()});
  next.reload(60);  // a reload meanwhile
  expect_only_one_has_reserve(*old.snapshot->admission, {next.snapshot->admission.get()});
  EXPECT_EQ(old.admissions.give_reserve(), 0) << "nothing at once";
  EXPECT_FALSE(admits(*next.snapshot->admission)) << "not told yet";
  const auto before = old.snapshot->admission;
  old.reload(60);
  EXPECT_FALSE(admits(*old.snapshot->admission) || admits(*before));
  next.admissions.take_reserve(0);
  expect_only_one_has_reserve(*next.snapshot->admission, {old.snapshot->admission.get()});
  // The successor is gone: the old process goes on with the fleet admission that it has.
  const auto kept = old.snapshot->admission;
  old.admissions.take_reserve(0);
  expect_only_one_has_reserve(*kept, {});
}

}  // namespace
}  // namespace shorelead::node
