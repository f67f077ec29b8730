// What a run is judged by, and `compare`.
#include "lab/summary.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lab/report.h"

namespace shorelead::lab {
namespace {

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
