// F2, F3 and what a process that stood still is judged by, on records written by hand: each breach beside its
// nearest harmless neighbour.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "lab/audit.h"
#include "lab/fleet_records.h"
#include "lab/records_io.h"

namespace shorelead::lab {
namespace {

// Rank 1 is check, rank 2 is look, `taken` of those offered at node 0 from 1000 on; one of rank 1 refused at
// 1700.
void shortage(Run& run, int taken, int refusing_node = 0, Millis refused_at = 1700, int offered = 100) {
  run.fleet.ranks = {{1, 0, {{kCheck}, {}, -1}}, {2, 0, {{kLook}, {}, -1}}};
  for (int n = 0; n < offered; ++n) ask(run, 1000 + 15 * n, 0, n < taken ? 0 : -1, kLook);
  ask(run, refused_at, refusing_node, -1);
}

// `refused` in a hundred of rank 1 beside `lower` in a hundred of rank 2, all over 2 s at node 0 by its word
// for want of room; all else is taken. The boxes are crowded from 1000 on, or idle.
void no_room(Run& run, int refused, int lower, bool crowded = true) {
  run.fleet.ranks = {{1, 0, {{kCheck}, {}, -1}}, {2, 0, {{kLook}, {}, -1}}};
  run.began = 0, run.ended = 4000;
  for (int n = 0; n < 400; ++n) {
    for (const int one : {kCheck, kLook}) {
      const bool takes = n * 37 % 100 >= (one == kCheck ? refused : lower);
      ask(run, 1000 + 5 * n, 0, takes ? n % 3 : -1, one).said =
          takes ? "" : "shorelead; error=destination_unavailable";
      if (takes && crowded)
        run.arrived.back().began += 150, run.arrived.back().answered += 150, run.asked.back().ended += 150;
    }
  }
}

// So many more of rank 1, refused with that word.
void blame(Run& run, int refused) {
  for (int n = 0; n < refused; ++n)
    ask(run, 2000 + n, 0, -1).said = "shorelead; error=destination_unavailable";
}

void one_box(Run& run, bool must = true) {
  KeyRule rule;
  rule.name = "baskets";
  rule.must = must;
  run.fleet.keys = {rule};
}
void put(Run& run, Millis at, int node, int box, const char* key = "k") {
  ask(run, at, node, box).basket = key;
}

// One request sent at 100 to a process that stands still from 105 to `on`; the client gives up at 6100.
void stood_still(Run& run, Millis on) {
  ask(run, 100, 0, -1);
  run.asked.back().end = ClientEnd::kSilent;
  run.asked.back().status = 0;
  run.asked.back().ended = 6100;
  pause(run, 0, 105, on);
}
// One whose box answers at 121 and whose process stands still from 115 to `on`; the client sees it at 2000.
void answered_late(Run& run, Millis on) {
  ask(run, 100, 0, 0).ended = 2000;
  pause(run, 0, 115, on);
}
// Sent to box 0 at 2000, and the node was told of its drain at 500; it stood still from 400 to 1900.
void told_meanwhile(Run& run, bool paused) {
  ask(run, 1999, 0, 0);
  run.told = {{0, 0, BoxState::kDraining, 500}};
  if (paused) pause(run, 0, 400, 1900);
}

struct Case {
  const char* name;
  std::function<void(Run&)> make;
  std::map<Breach, int> wanted;
};
void PrintTo(const Case& one, std::ostream* out) { *out << one.name; }

class FleetAuditing : public testing::TestWithParam<Case> {};

TEST_P(FleetAuditing, FindsJustThat) {
  lab::Run run = empty_run();
  GetParam().make(run);
  const Audit result = audit(run, AuditLimits());
  EXPECT_EQ(result.counts, GetParam().wanted);
  EXPECT_EQ(audit(records_from_json(records_to_json(run)), AuditLimits()).counts, result.counts);
}

const std::vector<Case>& cases() {
  static const std::vector<Case> kCases{
      // A process that stands still
      {"lost_in_a_pause", [](Run& r) { stood_still(r, 5090); }, {}},
      {"lost_though_it_went_on_in_time", [](Run& r) { stood_still(r, 4900); }, {{Breach::kLost, 1}}},
      {"late_out_of_a_pause", [](Run& r) { answered_late(r, 5090), r.asked.back().ended = 5200; }, {}},
      {"late_after_a_pause",
       [](Run& r) { answered_late(r, 4900), r.asked.back().ended = 5200; },
       {{Breach::kLate, 1}, {Breach::kHeld, 1}}},
      {"sent_past_due_out_of_a_pause",
       [](Run& r) {
         stood_still(r, 5190), ask(r, 5195, 0, 0);
         r.arrived.back().id = r.asked[0].id, r.asked.pop_back();
       },
       {{Breach::kSentAfter, 1}}},
      {"not_held_back_while_it_stood_still", [](Run& r) { answered_late(r, 1990); }, {}},
      {"held_back_after_it_went_on", [](Run& r) { answered_late(r, 1700); }, {{Breach::kHeld, 1}}},
      {"told_while_it_stood_still", [](Run& r) { told_meanwhile(r, true); }, {}},
      {"told_while_it_ran", [](Run& r) { told_meanwhile(r, false); }, {{Breach::kDrained, 1}}},
      // F2
      {"the_lower_rank_taken", [](Run& r) { shortage(r, 30); }, {{Breach::kShedOrder, 1}}},
      {"two_in_a_hundred_of_it", [](Run& r) { shortage(r, 2); }, {}},
      {"two_in_thirty_of_it", [](Run& r) { shortage(r, 2, 0, 1300, 30); }, {}},
      {"refused_at_another_process", [](Run& r) { shortage(r, 30, 1); }, {}},
      {"refused_two_seconds_on", [](Run& r) { shortage(r, 30, 0, 3400); }, {}},
      {"taken_within_its_floor", [](Run& r) { shortage(r, 30), r.fleet.ranks[1].floor = 0.3; }, {}},
      {"another_pool", [](Run& r) { shortage(r, 30), r.fleet.ranks[1].scope.pool = 1; }, {}},
      {"the_ranks_the_right_way_round", [](Run& r) { shortage(r, 30), r.fleet.ranks[0].rank = 3; }, {}},
      {"a_failure_and_no_refusal", [](Run& r) { shortage(r, 30), r.asked.back().status = 502; }, {}},
      {"refused_for_want_of_time", [](Run& r) { shortage(r, 30), r.asked.back().ended += 400; }, {}},
      {"refused_by_one_that_ends",
       [](Run& r) {
         shortage(r, 30), r.nodes.push_back({0, NodeDid::kTerminated, 1690, 0});
       },
       {}},
      {"taken_by_the_process_before",
       [](Run& r) {
         shortage(r, 30), r.nodes.push_back({0, NodeDid::kKilled, 1600, 0});
         r.nodes.push_back({0, NodeDid::kStarted, 1650, 0});
       },
       {}},
      {"refused_for_a_budget",
       [](Run& r) {
         shortage(r, 30), r.fleet.budgets = {{"rate", Spending::kRate, 1000, 100, 0, 0, {{kCheck}, {}, -1}}};
       },
       {}},
      {"a_box_had_just_died",
       [](Run& r) {
         shortage(r, 30), r.changed.push_back({2, BoxState::kGone, 1500});
       },
       {}},
      {"a_box_had_just_ended_its_drain",
       [](Run& r) {
         shortage(r, 30), r.changed.push_back({2, BoxState::kDraining, 400});
         r.changed.push_back({2, BoxState::kGone, 1500});
       },
       {{Breach::kShedOrder, 1}}},
      // and what a process says that found no room
      {"no_room_in_crowded_boxes", [](Run& r) { no_room(r, 10, 10); }, {}},
      {"no_room_for_lower_ranks_first", [](Run& r) { no_room(r, 5, 20); }, {}},
      {"no_room_said_of_idle_boxes_once_in_a_while",
       [](Run& r) { no_room(r, 0, 0, false), blame(r, 2); },
       {}},
      {"no_room_said_of_idle_boxes_thrice",
       [](Run& r) { no_room(r, 0, 0, false), blame(r, 3); },
       {{Breach::kShedOrder, 1}}},
      {"no_room_said_of_idle_boxes", [](Run& r) { no_room(r, 10, 10, false); }, {{Breach::kShedOrder, 1}}},
      // By the node, and by all processes together.
      {"no_room_for_higher_ranks_first", [](Run& r) { no_room(r, 20, 5); }, {{Breach::kShedOrder, 2}}},
      {"no_room_for_a_while", [](Run& r) { no_room(r, 30, 30); }, {}},
      {"no_room_for_longer_than_a_plan_takes",
       [](Run& r) { no_room(r, 30, 30), r.fleet.shed_within = 1000; },
       {{Breach::kShedOrder, 5}}},
      {"little_room_for_longer", [](Run& r) { no_room(r, 10, 10), r.fleet.shed_within = 1000; }, {}},
      {"another_word_in_crowded_boxes",
       [](Run& r) {
         no_room(r, 10, 10);
         for (Asked& asked : r.asked) asked.said = "shorelead; error=http_request_denied";
       },
       {{Breach::kShedOrder, 1}}},
      // F3
      {"two_boxes_at_once",
       [](Run& r) { one_box(r), put(r, 100, 0, 0), put(r, 110, 1, 1); },
       {{Breach::kTwoBoxes, 1}}},
      {"the_next_box_after_the_first", [](Run& r) { one_box(r), put(r, 100, 0, 0), put(r, 120, 1, 1); }, {}},
      {"two_boxes_of_its_zone",
       [](Run& r) { one_box(r), r.fleet.keys[0].to = Unit::kZone, put(r, 100, 0, 0), put(r, 110, 1, 1); },
       {}},
      {"another_key", [](Run& r) { one_box(r), put(r, 100, 0, 0), put(r, 110, 1, 1, "other"); }, {}},
      {"by_one_process", [](Run& r) { one_box(r), put(r, 100, 0, 0), put(r, 110, 0, 1); }, {}},
      {"preferred_only", [](Run& r) { one_box(r, false), put(r, 100, 0, 0), put(r, 110, 1, 1); }, {}},
      {"given_up_at_the_first",
       [](Run& r) {
         one_box(r), put(r, 100, 0, 0), r.arrived.back().answered = 0, r.arrived.back().closed = 155;
         r.arrived.back().end = BoxEnd::kDropped, r.asked.back().status = 502;
         put(r, 110, 1, 1);
       },
       {}},
      {"back_with_the_old_map",
       [](Run& r) { one_box(r), put(r, 100, 0, 0), put(r, 200, 1, 1), put(r, 300, 0, 0); },
       {{Breach::kTwoBoxes, 1}}},
      {"moved_back_in_its_time",
       [](Run& r) { one_box(r), put(r, 100, 0, 0), put(r, 300, 1, 1), put(r, 510, 0, 0); },
       {}},
      {"asked_for_before_the_move",
       [](Run& r) {
         one_box(r), put(r, 100, 0, 0), put(r, 200, 1, 1);
         put(r, 230, 0, 0), r.asked.back().intended = 190;
       },
       {}},
      {"back_with_the_old_map_out_of_a_pause",
       [](Run& r) {
         one_box(r), put(r, 100, 0, 0), put(r, 270, 1, 1), put(r, 300, 0, 0), r.asked.back().intended = 150;
         pause(r, 0, 140, 299);
       },
       {{Breach::kTwoBoxes, 1}}},
  };
  return kCases;
}

INSTANTIATE_TEST_SUITE_P(Cases, FleetAuditing, testing::ValuesIn(cases()),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace shorelead::lab
