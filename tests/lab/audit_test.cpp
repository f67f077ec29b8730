// The auditor on records written by hand: each breach with its nearest harmless neighbour, so that it is
// known to tell them apart. Times are milliseconds; a request is sent at 100 and due at 1100 unless said
// otherwise.
#include "lab/audit.h"

#include <gtest/gtest.h>

#include <functional>
#include <set>

#include "lab/records_io.h"

namespace shorelead::lab {
namespace {

constexpr int kSafe = 0;
constexpr int kKeyed = 1;  // by zone, for 800 ms
constexpr int kUnsafe = 2;
constexpr int kKeyedAll = 3;

// One request, one attempt that ran and was answered, one answer passed on.
Run sound(int request_class) {
  Run run;
  run.classes = {{"safe", Effect::kSafe, Group::kAll, 0, 400, 1000, 1},
                 {"keyed", Effect::kKeyed, Group::kZone, 800, 400, 1000, 1},
                 {"unsafe", Effect::kUnsafe, Group::kAll, 0, 400, 1000, 1},
                 {"keyed_all", Effect::kKeyed, Group::kAll, 800, 400, 1000, 1}};
  run.boxes = {{"s-0", 0, 0, 0}, {"s-1", 0, 1, 0}, {"s-2", 1, 0, 0}};
  run.node_count = 2;
  run.nodes = {{0, NodeDid::kStarted, 1, 0}, {1, NodeDid::kStarted, 1, 0}};
  Asked asked;
  asked.id = "r1";
  asked.request_class = request_class;
  asked.intended = asked.sent = 100;
  asked.due = 1100;
  asked.ended = 160;
  asked.end = ClientEnd::kAnswered;
  asked.status = 200;
  asked.right_body = true;
  asked.run = 1;
  run.asked = {asked};
  Arrived arrived;
  arrived.serial = 1;
  arrived.id = "r1";
  arrived.request_class = request_class;
  arrived.first_byte = arrived.last_byte = 110;
  arrived.began = 112;
  arrived.answered = 150;
  arrived.end = BoxEnd::kServed;
  run.arrived = {arrived};
  return run;
}

Arrived& another(Run& run, Millis at, int box) {
  Arrived next = run.arrived.back();
  next.serial += 1;
  next.first_byte = next.last_byte = at;
  next.began = at + 2;
  next.answered = at + 40;
  next.box = box;
  run.arrived.push_back(next);
  return run.arrived.back();
}

void unanswered(Run& run, ClientEnd end) {
  run.asked[0].end = end;
  run.asked[0].status = 0;
  run.asked[0].run = 0;
  run.asked[0].right_body = false;
}

struct Case {
  const char* name;
  int request_class;
  std::function<void(Run&)> change;
  std::set<Breach> wanted;
};

void PrintTo(const Case& one, std::ostream* out) { *out << one.name; }

class Auditing : public testing::TestWithParam<Case> {};

TEST_P(Auditing, FindsJustThat) {
  lab::Run run = sound(GetParam().request_class);
  GetParam().change(run);
  const Audit result = audit(run, AuditLimits());
  std::set<Breach> found;
  for (const auto& [breach, count] : result.counts) found.insert(breach);
  EXPECT_EQ(found, GetParam().wanted);
  for (const Finding& finding : result.findings) EXPECT_FALSE(finding.evidence.empty());
  // The same verdict from the record as a file.
  const Audit again = audit(records_from_json(records_to_json(run)), AuditLimits());
  EXPECT_EQ(again.counts, result.counts);
}

const std::vector<Case>& cases() {
  static const std::vector<Case> kCases{
      {"a_sound_run", kUnsafe, [](Run&) {}, {}},
      // Rule 1
      {"reset_without_an_answer", kSafe, [](Run& r) { unanswered(r, ClientEnd::kReset); }, {Breach::kLost}},
      {"silence",
       kSafe,
       [](Run& r) { unanswered(r, ClientEnd::kSilent), r.asked[0].ended = 2100; },
       {Breach::kLost}},
      {"lost_with_a_killed_node",
       kUnsafe,
       [](Run& r) {
         unanswered(r, ClientEnd::kReset);
         r.nodes.push_back({0, NodeDid::kKilled, 159, 0});
       },
       {}},
      {"another_node_was_killed",
       kUnsafe,
       [](Run& r) {
         unanswered(r, ClientEnd::kReset);
         r.nodes.push_back({1, NodeDid::kKilled, 159, 0});
       },
       {Breach::kLost}},
      {"killed_before_it_was_sent",
       kUnsafe,
       [](Run& r) {
         unanswered(r, ClientEnd::kReset);
         r.nodes.push_back({0, NodeDid::kKilled, 20, 0});
       },
       {Breach::kLost}},
      // The node dies, the charge that it had sent runs, and whoever takes over sends it again.
      {"twice_though_the_node_was_killed",
       kUnsafe,
       [](Run& r) {
         unanswered(r, ClientEnd::kReset);
         r.nodes.push_back({0, NodeDid::kKilled, 159, 0});
         another(r, 155, 1);
       },
       {Breach::kResent}},
      {"never_connected",
       kSafe,
       [](Run& r) {
         unanswered(r, ClientEnd::kNoConnection);
         r.asked[0].sent = 0;
         r.arrived.clear();
       },
       {}},
      {"the_client_left", kSafe, [](Run& r) { unanswered(r, ClientEnd::kLeft); }, {}},
      {"cut_by_the_node", kSafe, [](Run& r) { unanswered(r, ClientEnd::kCut); }, {Breach::kCut}},
      {"cut_by_the_box",
       kSafe,
       [](Run& r) { unanswered(r, ClientEnd::kCut), r.arrived[0].end = BoxEnd::kSpoilt; },
       {}},
      {"within_the_slack", kSafe, [](Run& r) { r.asked[0].ended = 1140, r.arrived[0].answered = 1130; }, {}},
      // The client sent it once more, as its connection was ended under it: rightly only if it had not been
      // read.
      {"resent_unread", kUnsafe, [](Run& r) { r.asked[0].resent = 105; }, {}},
      {"resent_though_sent_on",
       kUnsafe,
       [](Run& r) {
         r.asked[0].resent = 152, another(r, 154, 1), r.asked[0].run = 2, r.asked[0].ended = 200;
       },
       {Breach::kLost}},
      {"resent_and_then_again_by_the_node",
       kUnsafe,
       [](Run& r) {
         r.asked[0].resent = 105;
         another(r, 154, 1);
         r.asked[0].run = 2;
         r.asked[0].ended = 200;
       },
       {Breach::kResent}},
      {"late", kSafe, [](Run& r) { r.asked[0].ended = 1160, r.arrived[0].answered = 1150; }, {Breach::kLate}},
      {"late_with_a_failure",
       kSafe,
       [](Run& r) { r.asked[0].status = 504, r.asked[0].ended = 1200; },
       {Breach::kLate}},
      {"more_behind_the_answer", kSafe, [](Run& r) { r.asked[0].extra = true; }, {Breach::kTwice}},
      {"a_body_of_another", kSafe, [](Run& r) { r.asked[0].right_body = false; }, {Breach::kInvented}},
      {"a_run_that_was_not", kSafe, [](Run& r) { r.asked[0].run = 77; }, {Breach::kInvented}},
      {"at_a_box_unasked", kSafe, [](Run& r) { another(r, 300, 1).id = "r9"; }, {Breach::kInvented}},
      {"half_a_request_unasked",
       kSafe,
       [](Run& r) { another(r, 300, 1).id = "r9", r.arrived.back().last_byte = 0; },
       {}},
      {"held_back", kSafe, [](Run& r) { r.asked[0].ended = 500; }, {Breach::kHeld}},
      {"the_box_was_slow", kSafe, [](Run& r) { r.asked[0].ended = 500, r.arrived[0].answered = 490; }, {}},
      {"sent_after_the_answer", kSafe, [](Run& r) { another(r, 300, 1); }, {Breach::kSentAfter}},
      {"sent_past_due",
       kSafe,
       [](Run& r) {
         unanswered(r, ClientEnd::kLeft);
         another(r, 1200, 1);
       },
       {Breach::kSentAfter}},
      // Rule 2
      {"safe_again",
       kSafe,
       [](Run& r) {
         another(r, 152, 1).answered = 155, r.arrived[0].end = BoxEnd::kErred, r.asked[0].run = 2;
       },
       {}},
      {"unsafe_again_after_a_run",
       kUnsafe,
       [](Run& r) { r.arrived[0].end = BoxEnd::kDropped, another(r, 152, 1), r.asked[0].run = 2; },
       {Breach::kResent}},
      {"unsafe_again_though_it_might_run",
       kUnsafe,
       [](Run& r) {
         r.arrived[0].end = BoxEnd::kDropped;
         r.arrived[0].began = 0;
         another(r, 152, 1);
         r.asked[0].run = 2;
       },
       {Breach::kResent}},
      {"unsafe_again_after_being_turned_away",
       kUnsafe,
       [](Run& r) {
         r.arrived[0].end = BoxEnd::kRejected;
         r.arrived[0].began = 0;
         another(r, 152, 1);
         r.asked[0].run = 2;
       },
       {}},
      {"unsafe_again_never_whole_before",
       kUnsafe,
       [](Run& r) {
         r.arrived[0].end = BoxEnd::kDropped;
         r.arrived[0].last_byte = r.arrived[0].began = 0;
         another(r, 152, 1);
         r.asked[0].run = 2;
       },
       {}},
      {"refused_after_a_run", kUnsafe, [](Run& r) { r.asked[0].status = 503; }, {Breach::kRefusedRan}},
      {"keyed_by_zone_refused_after_a_run",
       kKeyed,
       [](Run& r) { r.asked[0].status = 429; },
       {Breach::kRefusedRan}},
      {"keyed_by_all_refused_after_a_run", kKeyedAll, [](Run& r) { r.asked[0].status = 429; }, {}},
      {"failed_after_a_run", kUnsafe, [](Run& r) { r.asked[0].status = 502; }, {}},
      {"refused_after_being_turned_away",
       kUnsafe,
       [](Run& r) { r.asked[0].status = 503, r.arrived[0].end = BoxEnd::kRejected, r.arrived[0].began = 0; },
       {}},
      {"keyed_again_in_its_zone",
       kKeyed,
       [](Run& r) { r.arrived[0].end = BoxEnd::kDropped, another(r, 152, 1), r.asked[0].run = 2; },
       {}},
      {"keyed_again_in_another_zone",
       kKeyed,
       [](Run& r) { r.arrived[0].end = BoxEnd::kDropped, another(r, 152, 2), r.asked[0].run = 2; },
       {Breach::kWindow}},
      {"keyed_again_too_late",
       kKeyed,
       [](Run& r) {
         r.arrived[0].end = BoxEnd::kDropped;
         another(r, 980, 1);
         r.asked[0].run = 2;
         r.asked[0].ended = 1030;
       },
       {Breach::kWindow}},
      {"two_at_once",
       kSafe,
       [](Run& r) {
         r.arrived[0].answered = 400;
         another(r, 200, 1);
         r.asked[0].ended = 402;
       },
       {Breach::kParallel}},
      {"two_at_once_where_allowed",
       kSafe,
       [](Run& r) {
         r.parallel_allowed = true;
         r.arrived[0].answered = 400;
         another(r, 200, 1);
         r.asked[0].ended = 402;
       },
       {}},
      {"the_first_had_been_given_up",
       kSafe,
       [](Run& r) {
         r.arrived[0].answered = 0;
         r.arrived[0].closed = 190;
         r.arrived[0].end = BoxEnd::kDropped;
         another(r, 200, 1);
         r.asked[0].run = 2;
         r.asked[0].ended = 245;
       },
       {}},
      {"six_attempts",
       kSafe,
       [](Run& r) {
         for (int n = 1; n <= 5; ++n) another(r, 110 + 100 * n, n % 3);
         r.asked[0].run = 6;
         r.asked[0].ended = 660;
       },
       {Breach::kTooMany}},
      {"five_attempts",
       kSafe,
       [](Run& r) {
         for (int n = 1; n <= 4; ++n) another(r, 110 + 100 * n, n % 3);
         r.asked[0].run = 5;
         r.asked[0].ended = 560;
       },
       {}},
      // Rule 3: grace 250, slack 50
      {"sent_within_the_grace",
       kSafe,
       [](Run& r) {
         r.told = {{0, 0, BoxState::kDraining, -180}};
         r.nodes.clear();
       },
       {}},
      {"sent_past_the_grace",
       kSafe,
       [](Run& r) {
         r.nodes.clear(), r.told = {{0, 0, BoxState::kDraining, -200}};
       },
       {Breach::kDrained}},
      {"word_of_the_end_does_not_renew_the_grace",
       kSafe,
       [](Run& r) {
         r.nodes.clear();
         r.told = {{0, 0, BoxState::kDraining, -300}, {0, 0, BoxState::kGone, 0}};
       },
       {Breach::kDrained}},
      {"ready_again",
       kSafe,
       [](Run& r) {
         r.nodes.clear();
         r.told = {{0, 0, BoxState::kDraining, -300}, {0, 0, BoxState::kReady, 0}};
       },
       {}},
      {"only_the_other_node_was_told",
       kSafe,
       [](Run& r) {
         r.nodes.clear(), r.told = {{1, 0, BoxState::kDraining, -300}};
       },
       {}},
      {"told_before_it_started_anew",
       kSafe,
       [](Run& r) {
         r.told = {{0, 0, BoxState::kDraining, -300}};
       },
       {}},
      // Rule 4
      {"pushed_over",
       kSafe,
       [](Run& r) {
         r.told = {{0, 1, BoxState::kReady, 10}, {1, 1, BoxState::kReady, 10}};
         r.fallen = {{1, 500, 1000, {{0, 300}, {1, 300}}}};
       },
       {Breach::kPushedOver}},
      {"pushed_over_by_one_not_told",
       kSafe,
       [](Run& r) {
         r.told = {{0, 1, BoxState::kReady, 10}};
         r.fallen = {{1, 500, 1000, {{0, 300}, {1, 300}}}};
       },
       {}},
  };
  return kCases;
}

INSTANTIATE_TEST_SUITE_P(Cases, Auditing, testing::ValuesIn(cases()),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against a repeated failure that hides every other behind its own number.
TEST(AuditorLimits, NamesTheFirstOfManyAndCountsAll) {
  lab::Run run = sound(kSafe);
  run.asked[0].extra = true;
  for (int n = 0; n < 100; ++n) run.asked.push_back(run.asked[0]);
  const Audit result = audit(run, AuditLimits());
  EXPECT_EQ(result.counts.at(Breach::kTwice), 101);
  EXPECT_EQ(result.findings.size(), static_cast<std::size_t>(Audit::kMostFindings));
}

TEST(Records, RefuseWhatIsNotWhole) {
  const std::string whole = records_to_json(sound(kSafe));
  EXPECT_NO_THROW(records_from_json(whole));
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{{"records/5", "records/4"},
                                                        {"\"asked\"", "\"askd\""},
                                                        {"\"status\":200", "\"status\":\"200\""},
                                                        {"\"box\":0", "\"box\":9"},
                                                        {"\"class\":0", "\"class\":-1"},
                                                        {"\"end\":0", "\"end\":99"},
                                                        {"}]", "}"}}) {
    std::string broken = whole;
    const std::size_t at = broken.find(from);
    ASSERT_NE(at, std::string::npos) << from;
    broken.replace(at, from.size(), to);
    EXPECT_THROW(records_from_json(broken), std::runtime_error) << from;
  }
}

}  // namespace
}  // namespace shorelead::lab
