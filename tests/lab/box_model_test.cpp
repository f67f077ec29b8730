// The stand-ins' box without sockets: against queueing theory, stalls, and the fall of a cold one.
#include "lab/box_model.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <vector>

#include "lab/draw.h"

namespace shorelead::lab {
namespace {

// Mean time in the system over many requests.
double mean_sojourn(const BoxSpec& spec, const Work& work, double rate_per_ms, int requests) {
  Draw draw(1, "test");
  BoxModel box(spec, 0, false);
  std::map<BoxModel::Job, Millis> arrived;
  double total = 0;
  int done = 0;
  const auto take = [&](Millis until) {
    for (const BoxModel::Step& step : box.advance(until)) {
      if (!step.done) continue;
      total += step.at - arrived.at(step.job);
      ++done;
    }
  };
  Millis now = 0;
  for (int n = 1; n <= requests; ++n) {
    now += draw.exponential(1 / rate_per_ms);
    take(now);
    arrived[static_cast<BoxModel::Job>(n)] = now;
    box.arrive(now, static_cast<BoxModel::Job>(n), work.draw(draw), 0);
  }
  take(now + 1e9);
  EXPECT_EQ(done, requests);
  return total / done;
}

TEST(BoxModel, AgreesWithQueueingTheory) {
  BoxSpec spec;
  spec.queue = 1 << 30;
  Work work;
  work.mean = 10;
  work.shape = Shape::kExponential;
  // M/M/1 at 70%: 10 / (1 - 0.7); M/D/1: Pollaczek-Khinchine; M/M/4 at 80%: Erlang C.
  EXPECT_NEAR(mean_sojourn(spec, work, 0.07, 200000), 10 / 0.3, 1.2);
  Work constant = work;
  constant.shape = Shape::kConstant;
  EXPECT_NEAR(mean_sojourn(spec, constant, 0.07, 200000), 10 + 0.7 * 10 / (2 * 0.3), 0.6);
  BoxSpec four = spec;
  four.cores = 4;
  const double a = 3.2;
  const double top = std::pow(a, 4) / 24 / (1 - 0.8);
  const double wait = top / (1 + a + a * a / 2 + a * a * a / 6 + top);
  EXPECT_NEAR(mean_sojourn(four, work, 0.32, 200000), 10 + wait * 10 / (4 - a), 0.6);
}

// Every request begins once and ends once, in order of time, never more at once than there are cores, never
// more waiting than the queue takes; stalls included.
TEST(BoxModel, LosesNothingAndOverfillsNothing) {
  ASSERT_TRUE(rc::check([] {
    BoxSpec spec;
    spec.cores = *rc::gen::inRange(1, 5);
    spec.queue = *rc::gen::inRange(0, 6);
    spec.cold_from = 0.3;
    spec.warm_up = 500;
    BoxModel box(spec, 0, *rc::gen::arbitrary<bool>());
    std::map<BoxModel::Job, int> state;  // 1 = taken, 2 = begun, 3 = done
    Millis now = 0;
    Millis last = 0;
    int running = 0;
    const auto check = [&](const std::vector<BoxModel::Step>& steps) {
      for (const BoxModel::Step& step : steps) {
        RC_ASSERT(step.at >= last);
        last = step.at;
        RC_ASSERT(state[step.job] == (step.done ? 2 : 1));
        state[step.job] = step.done ? 3 : 2;
        running += step.done ? -1 : 1;
        RC_ASSERT(running >= 0 && running <= spec.cores);
      }
    };
    const int count = *rc::gen::inRange(1, 80);
    for (int n = 1; n <= count; ++n) {
      now += *rc::gen::inRange(0, 20);
      check(box.advance(now));
      last = std::max(last, now);
      const int act = *rc::gen::inRange(0, 10);
      if (act == 0) {
        box.stall(now, now + *rc::gen::inRange(1, 100));
      } else if (act == 1 && n > 1) {
        const auto job = static_cast<BoxModel::Job>(*rc::gen::inRange(1, n));
        if (box.cancel(job)) {
          RC_ASSERT(state[job] == 1);
          state.erase(job);
        }
      } else {
        const auto job = static_cast<BoxModel::Job>(n);
        const BoxModel::Verdict verdict = box.arrive(now, job, *rc::gen::inRange(1, 60), 0);
        if (verdict == BoxModel::Verdict::kBegan) state[job] = 2, ++running;
        if (verdict == BoxModel::Verdict::kQueued) state[job] = 1;
        RC_ASSERT(box.load().waiting <= spec.queue);
        RC_ASSERT(running <= spec.cores);
      }
    }
    check(box.advance(1e9));
    for (const auto& [job, at] : state) RC_ASSERT(at == 3);
    RC_ASSERT(box.load().in_hand == 0);
  }));
}

TEST(BoxModel, StandsStillWhileStalled) {
  BoxModel box(BoxSpec(), 0, false);
  EXPECT_EQ(box.arrive(0, 1, 10, 0), BoxModel::Verdict::kBegan);
  box.stall(4, 104);
  EXPECT_EQ(box.arrive(50, 2, 10, 0), BoxModel::Verdict::kQueued);
  EXPECT_TRUE(box.advance(109).empty());
  const auto steps = box.advance(200);
  ASSERT_EQ(steps.size(), 3U);
  EXPECT_DOUBLE_EQ(steps[0].at, 110);  // the first, 100 later
  EXPECT_DOUBLE_EQ(steps[2].at, 120);  // the second, behind it
}

TEST(BoxModel, FallsOverWhenColdAndSentTooMuch) {
  BoxSpec spec;
  spec.cold_from = 0.2;
  spec.warm_up = 10000;
  spec.fall_multiple = 2;
  spec.fall_span = 1000;
  spec.queue = 1000;
  const auto falls = [&spec](bool cold, Millis every) {
    BoxModel box(spec, 0, cold);
    for (Millis at = 1000; at < 4000; at += every) {
      if (box.arrive(at, static_cast<BoxModel::Job>(at), 20, at < 2000 ? 0 : 1) == BoxModel::Verdict::kFell)
        return true;
      box.advance(at);
    }
    return false;
  };
  // At a second old it can do 0.28 of a core: 560 ms of work a second is twice that, 20 ms each 36 ms.
  EXPECT_TRUE(falls(true, 20));
  EXPECT_FALSE(falls(true, 50));
  EXPECT_FALSE(falls(false, 20));  // a warm one only turns away
  BoxModel box(spec, 0, true);
  for (Millis at = 1000; box.arrive(at, static_cast<BoxModel::Job>(at), 20, 7) != BoxModel::Verdict::kFell;
       at += 20) {
    ASSERT_LT(at, 4000);
  }
  EXPECT_TRUE(box.fallen());
  EXPECT_GT(box.pushed().at(7), 500);
}

}  // namespace
}  // namespace shorelead::lab
