// Detection of a shortage of the fleet and control of the cut-off: by table, by property, and against a
// simulated plant of limited capacity.
#include "plans/cutoff.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <limits>

#include "base/random.h"
#include "plans/level.h"

namespace shorelead::plans {
namespace {

constexpr int kRanks = 6;

fleet::Record record(double offered, double missed, double room, std::string zone = "a") {
  fleet::Record out;
  out.zone = std::move(zone);
  out.room = room;
  for (int rank = 0; rank < kRanks; ++rank) {
    const double each = offered / kRanks;
    out.ranks[rank] = {each, each, each * (1 - missed), 0, each * missed};
  }
  return out;
}

std::vector<fleet::Record> records(std::size_t count, const fleet::Record& like) { return {count, like}; }

TEST(Shortage, IsSeenOnlyForTheWholeFleet) {
  const auto calm = record(100, 0.01, 0.4);
  const auto busy = record(100, 0.02, 0.01);
  const auto broken = record(100, 0.5, 0.4);
  const auto in_want = record(100, 0.4, 0.02);
  const auto with = [](std::vector<fleet::Record> all, const std::vector<fleet::Record>& more) {
    all.insert(all.end(), more.begin(), more.end());
    return all;
  };
  const auto zoned = [](std::size_t bad, std::size_t good, const char* good_zone) {
    std::vector<fleet::Record> all(bad, record(100, 0.4, 0.02, "a"));
    all.insert(all.end(), good, record(100, 0.01, 0.4, good_zone));
    return all;
  };
  const double nan = std::numeric_limits<double>::quiet_NaN();
  const struct {
    const char* what;
    std::vector<fleet::Record> records;
    bool is_short;
  } cases[] = {
      {"nobody", {}, false},
      {"calm", records(5, calm), false},
      {"well used", records(5, busy), false},
      {"a bad pool: misses, and room", records(5, broken), false},
      {"want", records(5, in_want), true},
      {"one alone", {in_want}, true},
      {"one of two", {in_want, calm}, false},
      {"a liar cries", with(records(4, calm), {record(1e9, 1, 0)}), false},
      {"a liar denies", with(records(4, in_want), {record(1e9, 0, 1)}), true},
      {"a hot process of three", with(records(2, calm), {record(2000, 0.9, 0)}), false},
      {"idle ones have no voice", with(records(3, in_want), records(9, record(0, 0, 1))), true},
      {"nine tenths at a tenth", with(records(2, record(900, 0.4, 0)), records(18, record(10, 0.4, 0))),
       true},
      {"a zone of most", zoned(7, 4, "b"), false},
      {"a zone of nearly all", zoned(19, 1, "b"), true},
      {"most, not all of one zone", zoned(7, 4, "a"), true},
      {"two zones of three", with(zoned(4, 4, "b"), records(4, record(100, 0.4, 0.02, "c"))), true},
      {"no numbers", with(records(4, calm), {record(nan, 1, nan)}), false},
  };
  for (const auto& c : cases) {
    EXPECT_EQ(view_of(c.records, kRanks, {}).is_short, c.is_short) << c.what;
  }
}

// No single record among five or more changes the verdict, and it moves the sums by at most three times what
// another record does.
TEST(Shortage, NoSingleRecordChangesTheVerdict) {
  EXPECT_TRUE(rc::check([] {
    const auto honest = *rc::gen::inRange<std::size_t>(4, 30);
    const bool want = *rc::gen::arbitrary<bool>();
    auto all = records(honest, want ? record(100, 0.4, 0.02) : record(100, 0.02, 0.3));
    const double before = view_of(all, kRanks, {}).in_time;
    fleet::Record liar = record(*rc::gen::inRange(0, 2000000000), *rc::gen::inRange(0, 3) / 2.0,
                                *rc::gen::inRange(-1, 3) / 1.0, *rc::gen::element<std::string>("a", "z"));
    liar.ranks[*rc::gen::inRange(-3, 40)].in_time = 1e12;
    all.insert(all.begin() + *rc::gen::inRange(0, static_cast<int>(honest)), liar);
    const FleetView view = view_of(all, kRanks, {});
    RC_ASSERT(view.is_short == want);
    RC_ASSERT(view.in_time <= before + 3 * 100 + 1e-6);
    RC_ASSERT(std::abs(view.missed - (want ? 0.4 : 0.02)) < 1e-9);
    RC_ASSERT(std::abs(view.room - (want ? 0.02 : 0.3)) < 1e-9);
  }));
}

// A plant with a capacity of `able` requests per second, offered the same load by each of six ranks and
// observed twice a second.
struct Plant {
  std::vector<double> offered = std::vector<double>(kRanks, 100);
  double able = 1000;
  Millis now = 0;
  std::vector<std::pair<Millis, double>> moves;

  FleetView view(double level) const {
    FleetView view;
    view.offered = offered;
    view.taken = taken_at(offered, level);
    view.in_time = std::min(able, view.taken);
    view.missed = view.taken > able ? 1 - able / view.taken : 0;
    view.room = std::max(0.0, 1 - view.taken / able);
    view.is_short = view.missed > 0.1 && view.room < 0.1;
    return view;
  }
  void run(Controller& controller, Millis length) {
    for (const Millis end = now + length; now < end; now += 500) {
      const double before = controller.level();
      const double after = controller.observe(view(before), true, now);
      if (after == before) continue;
      moves.emplace_back(now, after);
      const double from = taken_at(offered, before);
      const double to = taken_at(offered, after);
      EXPECT_GE(to, from * 0.5 - 1e-9) << now;
      EXPECT_LE(to, from * 1.3 + 1e-9) << now;
    }
  }
};

TEST(Controller, CutsAsMuchAsNeededAndReopensByTrials) {
  for (const double able : {550.0, 400.0, 300.0, 150.0}) {
    Plant plant;
    Controller controller(kRanks, {}, 1);
    plant.run(controller, 10000);
    EXPECT_EQ(controller.level(), kRanks);
    plant.able = able;
    plant.run(controller, 90000);
    const double taken = taken_at(plant.offered, controller.level());
    EXPECT_LT(taken, able * 1.2) << able;
    EXPECT_GT(taken, std::min(600.0, able) * 0.9) << able;
    // Under a lasting shortage failed trials become rare: in the end at most one trial and its step back a
    // minute.
    plant.run(controller, 400000);
    plant.moves.clear();
    plant.run(controller, 240000);
    EXPECT_LE(plant.moves.size(), 8U) << able;
    plant.able = 1000;
    plant.run(controller, 140000);
    EXPECT_EQ(controller.level(), kRanks) << able;
  }
}

TEST(Controller, IgnoresShortStalls) {
  Random random(5);
  Plant plant;
  Controller controller(kRanks, {}, 1);
  for (int n = 0; n < 400; ++n) {
    plant.able = 200;
    plant.run(controller, 500 + 500 * static_cast<double>(random.below(4)));
    plant.able = 1000;
    plant.run(controller, 500);
  }
  EXPECT_TRUE(plant.moves.empty());
  // Short before and after a gap between observations does not count as short throughout.
  plant.able = 200;
  for (int n = 0; n < 50; ++n) {
    plant.run(controller, 2500);
    plant.now += 6000;
  }
  EXPECT_TRUE(plant.moves.empty());
}

// A planner's own cut-off is written with a delay; another planner's is adopted and held; a move is judged
// only once the records have it.
TEST(CutOffShaper, WaitsForItsPlanAndAdoptsAnotherPlanners) {
  CutOffShaper shaper(kRanks, {}, 1);
  fleet::Plan standing;
  standing.epoch = 4;
  auto all = records(5, record(100, 0.6, 0));
  Millis now = 0;
  const auto look = [&] {
    fleet::Plan next = standing;
    shaper.shape(next, &standing, all, now += 500);
    return next.cut_off;
  };
  fleet::CutOff cut;
  while (now < 10000 && (cut = look()) == fleet::CutOff{}) {
  }
  EXPECT_GE(now, 3000);
  EXPECT_LE(now, 4000);
  // Requested while it is not written yet; then in the plan, but in no record for 4 s.
  EXPECT_EQ(look(), cut);
  standing.epoch = 5;
  standing.cut_off = cut;
  const Millis since = now;
  for (int n = 0; n < 8; ++n) EXPECT_EQ(look(), cut);
  for (auto& r : all) r.epoch = 5;
  while (now < since + 30000 && look() == cut) {
  }
  // In force after 4 s, two ranks passed in 4 s more, queues drained in 1.5 s, short for 2 s.
  EXPECT_GE(now - since, 11000);
  EXPECT_LE(now - since, 13000);
  // Another planner's cut-off is held for at least `hold`; it is no trial that could be stepped back.
  standing.epoch = 9;
  standing.cut_off = {2, 0.5};
  all = records(5, record(100, 0, 0.05));
  const Millis adopted = now + 500;
  while (now < adopted + 30000 && look() == standing.cut_off) {
  }
  EXPECT_GE(now - adopted, 10000);
  EXPECT_LE(now - adopted, 13000);
}

TEST(LocalShedder, KeepsThePlansCutOffWhileValidThenContinuesFromIt) {
  LocalShedder local(kRanks, {}, 1);
  const auto want = record(100, 0.6, 0).ranks;
  const auto calm = record(100, 0, 0.5).ranks;
  local.set_plan_cut_off({3, 0.25}, 5000);
  Millis now = 0;
  for (; now < 5000; now += 1000) EXPECT_EQ(local.in_force(want, 0, now), (fleet::CutOff{3, 0.25}));
  EXPECT_EQ(local.in_force(want, 0, now), (fleet::CutOff{3, 0.25}));
  EXPECT_TRUE(local.without_plan());
  for (; now < 15000; now += 1000) local.in_force(want, 0, now);
  EXPECT_LT(level_of(local.in_force(want, 0, now), kRanks), 3.75);
  for (; now < 200000; now += 1000) local.in_force(calm, 0.5, now);
  EXPECT_EQ(local.in_force(calm, 0.5, now), fleet::CutOff{});
  local.set_plan_cut_off({5, 1}, now + 5000);
  EXPECT_EQ(local.in_force(calm, 0.5, now), (fleet::CutOff{5, 1}));
  EXPECT_FALSE(local.without_plan());
}

}  // namespace
}  // namespace shorelead::plans
