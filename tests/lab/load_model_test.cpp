// Load without sockets: draws, schedules and the histogram of what came of them.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "lab/draw.h"
#include "lab/histogram.h"
#include "lab/schedule.h"

namespace shorelead::lab {
namespace {

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
  ASSERT_TRUE(rc::check([] {
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
  }));
}

}  // namespace
}  // namespace shorelead::lab
