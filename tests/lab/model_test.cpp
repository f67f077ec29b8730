// The stand-ins' decisions without sockets: the box model against queueing theory, schedules, draws, the
// histogram, and `compare`.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "lab/box_model.h"
#include "lab/draw.h"
#include "lab/histogram.h"
#include "lab/report.h"
#include "lab/schedule.h"
#include "lab/summary.h"

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
  rc::check([] {
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
  });
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

TEST(Draw, GivesTheMeansAskedFor) {
  for (const Shape shape : {Shape::kConstant, Shape::kExponential, Shape::kLognormal, Shape::kPareto}) {
    Draw draw(3, "means");
    Work work;
    work.shape = shape;
    work.mean = 20;
    work.cv = 0.7;
    double sum = 0;
    for (int n = 0; n < 200000; ++n) sum += work.draw(draw);
    EXPECT_NEAR(sum / 200000, 20, 0.4) << static_cast<int>(shape);
  }
  Draw a(3, "x");
  Draw b(3, "x");
  Draw c(3, "y");
  EXPECT_EQ(a.hex(40), b.hex(40));
  EXPECT_NE(Draw(3, "x").hex(40), c.hex(40));
}

TEST(Schedule, KeepsItsRates) {
  LoadPlan load;
  load.rate = 500;
  load.span = 20000;
  load.shares = {3, 1};
  const std::vector<std::string> classes{"a", "b"};
  for (const Arrivals arrivals :
       {Arrivals::kPoisson, Arrivals::kConstant, Arrivals::kBursts, Arrivals::kRamp}) {
    load.arrivals = arrivals;
    load.ramp_to = 3;
    const auto planned = plan(load, classes, 5);
    EXPECT_EQ(planned, plan(load, classes, 5));
    const double wanted = arrivals == Arrivals::kRamp ? 20000 : 10000;
    EXPECT_NEAR(static_cast<double>(planned.size()), wanted, wanted * 0.04) << static_cast<int>(arrivals);
    EXPECT_TRUE(std::is_sorted(planned.begin(), planned.end(), [](auto& x, auto& y) { return x.at < y.at; }));
    const auto first =
        std::count_if(planned.begin(), planned.end(), [](auto& p) { return p.request_class == 0; });
    EXPECT_NEAR(static_cast<double>(first) / static_cast<double>(planned.size()), 0.75, 0.03);
    if (arrivals == Arrivals::kBursts) {
      for (const Planned& p : planned) ASSERT_LT(std::fmod(p.at, load.burst_every), load.burst_length);
    }
  }
  load.arrivals = Arrivals::kConstant;
  load.steps = {{5000, 0}, {10000, 2}};
  const auto planned = plan(load, classes, 5);
  EXPECT_NEAR(static_cast<double>(planned.size()), 2500 + 0 + 10000, 10);
}

TEST(Histogram, IsWithinItsStatedError) {
  rc::check([] {
    const auto raw = *rc::gen::container<std::vector<double>>(
        300, rc::gen::map(rc::gen::inRange(20, 5000000), [](int n) { return n / 1000.0; }));
    LatencyHistogram histogram;
    for (const double value : raw) histogram.note(value);
    std::vector<double> sorted = raw;
    std::sort(sorted.begin(), sorted.end());
    for (const double share : {0.01, 0.5, 0.9, 0.99, 1.0}) {
      const double truth = sorted[static_cast<std::size_t>(std::ceil(share * 300 - 1e-9)) - 1];
      RC_ASSERT(std::abs(histogram.quantile(share) / truth - 1) <= LatencyHistogram::kRelativeError * 1.01);
    }
  });
}

// One wish a millisecond, all served in 20 ms.
Run served_run(int wishes) {
  Run run;
  run.classes = {{"look", Effect::kSafe, Group::kAll, 0, 100, 1000, 2}};
  run.boxes = {{"s-0", 0, 0, 0}};
  run.began = 1000;
  run.ended = 5000;
  run.node_count = 1;
  run.nodes = {{0, NodeDid::kStarted, 1, 0}};
  for (int n = 0; n < wishes; ++n) {
    Asked asked;
    asked.id = std::to_string(n);
    asked.intended = asked.sent = 1000 + n;
    asked.due = asked.intended + 1000;
    asked.ended = asked.intended + 20;
    asked.end = ClientEnd::kAnswered;
    asked.status = 200;
    asked.right_body = true;
    asked.run = static_cast<std::uint64_t>(n + 1);
    asked.chain = static_cast<std::uint32_t>(n);
    run.asked.push_back(asked);
    Arrived arrived;
    arrived.serial = asked.run;
    arrived.id = asked.id;
    arrived.request_class = 0;
    arrived.first_byte = arrived.last_byte = arrived.began = asked.intended + 1;
    arrived.answered = asked.intended + 19;
    arrived.end = BoxEnd::kServed;
    run.arrived.push_back(arrived);
  }
  return run;
}

TEST(Summary, JudgesARunByRulesFiguresAndTheLabsOwnLateness) {
  Experiment experiment;
  experiment.load.span = 1000;
  const auto verdict = [&experiment](const lab::Run& run) {
    return summarize(run, experiment, Judging()).verdict;
  };
  lab::Run run = served_run(1000);
  EXPECT_EQ(verdict(run), "kept");
  const Summary summary = summarize(run, experiment, Judging());
  EXPECT_EQ(summary.all.in_aim, 1000U);
  EXPECT_DOUBLE_EQ(summary.all.worth, 2000);
  EXPECT_NEAR(summary.all.latency.p99, 20, 0.1);
  EXPECT_NEAR(summary.rate, 1000, 1);
  experiment.must.p99 = 10;
  EXPECT_EQ(verdict(run), "missed");
  experiment.must.p99.reset();
  run.load_late_p99 = 11;  // whatever it says of the node, it says nothing
  run.asked[0].extra = true;
  EXPECT_EQ(verdict(run), "void");
  run.load_late_p99 = 1;
  EXPECT_EQ(verdict(run), "broken");
  run.asked[0].extra = false;
  run.nodes.push_back({0, NodeDid::kExited, 2000, 139});
  EXPECT_EQ(verdict(run), "broken");
  run.nodes.pop_back();
  run.bad_clients = {{"noise", 1500, 0, 0, false}};
  EXPECT_EQ(verdict(run), "broken");
  run.bad_clients[0].settled = true;
  // A try that failed and was made good by the client's next one belongs to one wish.
  Asked again = run.asked[5];
  again.id = "again";
  again.tries_before = 1;
  again.run = 1001;
  again.ended += 300;
  Arrived arrived = run.arrived[5];
  arrived.serial = 1001;
  arrived.id = "again";
  arrived.first_byte = arrived.last_byte = arrived.began = arrived.answered = again.ended - 2;
  run.arrived.push_back(arrived);
  run.asked.push_back(again);
  run.asked[5].status = 503;
  const Summary tried = summarize(run, experiment, Judging());
  EXPECT_EQ(tried.verdict, "kept");
  EXPECT_EQ(tried.all.wishes, 1000U);
  EXPECT_EQ(tried.all.tries, 1001U);
  EXPECT_EQ(tried.all.late, 1U);  // its time counts from the first
}

Report report_of(const std::vector<double>& p99, const std::string& verdict = "kept") {
  Report report;
  for (const double value : p99) report.runs.push_back({verdict, {{"p99", value}}});
  return report;
}

TEST(Compare, TellsNoiseFromDifference) {
  const Report a = report_of({100, 104, 98, 101, 97});
  const auto differs = [&a](const Report& b) { return compare(a, b).at(0).beyond_noise; };
  EXPECT_FALSE(differs(report_of({101, 99, 103, 98, 100})));
  EXPECT_TRUE(differs(report_of({121, 119, 123, 118, 120})));
  EXPECT_FALSE(differs(report_of({70, 190, 100, 60, 180})));  // far apart, but by chance as likely as not
  EXPECT_FALSE(compare(a, report_of({200})).at(0).known);     // one run is an anecdote
  EXPECT_TRUE(compare(a, report_of({200, 210}, "void")).empty());
  // Welch's interval for these two, worked out by hand: 20.2 -+ 3.52 (7.17 degrees of freedom).
  const Difference d = compare(a, report_of({121, 119, 123, 118, 120})).at(0);
  EXPECT_NEAR(d.low, 16.68, 0.02);
  EXPECT_NEAR(d.high, 23.72, 0.02);
}

}  // namespace
}  // namespace shorelead::lab
