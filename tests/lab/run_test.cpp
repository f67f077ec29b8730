// The lab against real processes: every experiment in bench/lab with the node, on its rules only, and every
// flaw of the plain forwarder, each caught as just the breach it is. No verdict here hangs on how fast
// anything was: the limits are wide, and a run in which the lab itself was late is played again.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <algorithm>
#include <filesystem>
#include <set>

#include "lab/session.h"
#include "lab/summary.h"

namespace shorelead::lab {
namespace {

struct Folder {
  Folder() {
    std::string name = (std::filesystem::temp_directory_path() / "shorelead-lab-test-XXXXXX").string();
    if (::mkdtemp(name.data()) != nullptr) path = name;
  }
  ~Folder() {
    if (!testing::Test::HasFailure()) std::filesystem::remove_all(path);
  }
  std::string path;
};

Summary play_and_judge(const Experiment& experiment, const std::vector<std::string>& command) {
  const Folder folder;
  Judging judging;
  judging.limits.slack = 300;  // many tests share this machine
  judging.limits.held = 400;
  judging.late_p99 = 100;
  judging.late_worst = 600;
  Summary summary;
  for (int n = 0; n < 4; ++n) {
    PlayOptions options;
    options.node_command = command;
    options.folder = folder.path;
    summary = summarize(play(experiment, options), experiment, judging);
    if (summary.verdict != "void") break;
  }
  return summary;
}

std::string findings(const Summary& summary) {
  std::string text = testing::PrintToString(summary.reasons);
  for (const Finding& finding : summary.audit.findings) {
    text += std::string("\n") + name_of(finding.breach) + ": " + finding.request + " " + finding.evidence;
  }
  return text;
}

class Experiments : public testing::TestWithParam<const char*> {};

TEST_P(Experiments, KeepsTheRules) {
  const Experiment experiment =
      load_experiment(std::string(SHORELEAD_EXPERIMENTS) + "/" + GetParam() + ".toml");
  const Summary summary = play_and_judge(experiment, {SHORELEAD_NODE, "serve"});
  EXPECT_EQ(summary.verdict, "kept") << findings(summary);
  // Something was served, or the rules were kept by nobody asking.
  EXPECT_GT(summary.all.share_served(), 0.2);
}

INSTANTIATE_TEST_SUITE_P(Node, Experiments,
                         testing::Values("calm", "deploy", "killed", "stalls", "black_hole", "discovery_down",
                                         "nodes_restarted", "overload", "bad_clients", "bad_answers",
                                         "subsets", "reloads", "pools_apart", "registry", "fleet/keys_calm",
                                         "fleet/keys_cut_both"),
                         [](const auto& info) {
                           std::string name = info.param;
                           std::replace(name.begin(), name.end(), '/', '_');
                           return name;
                         });

struct Flaw {
  const char* name;
  std::set<Breach> caught;
  const char* experiment = "forwarder";
};

void PrintTo(const Flaw& flaw, std::ostream* out) { *out << flaw.name; }

class Flaws : public testing::TestWithParam<Flaw> {};

TEST_P(Flaws, AreCaughtAsWhatTheyAre) {
  const Experiment experiment =
      load_experiment(std::string(SHORELEAD_EXPERIMENTS) + "/flaws/" + GetParam().experiment + ".toml");
  const Summary summary = play_and_judge(experiment, {SHORELEAD_FORWARDER, "--flaw", GetParam().name});
  ASSERT_NE(summary.verdict, "void");
  std::set<Breach> found;
  for (const auto& [breach, count] : summary.audit.counts) found.insert(breach);
  EXPECT_EQ(found, GetParam().caught) << findings(summary);
}

INSTANTIATE_TEST_SUITE_P(
    Forwarder, Flaws,
    testing::Values(Flaw{"none", {}}, Flaw{"loses", {Breach::kLost}}, Flaw{"late", {Breach::kLate}},
                    Flaw{"cuts", {Breach::kCut}}, Flaw{"answers_twice", {Breach::kTwice}},
                    Flaw{"invents", {Breach::kInvented}}, Flaw{"holds", {Breach::kHeld}},
                    Flaw{"sends_after", {Breach::kSentAfter}}, Flaw{"resends", {Breach::kResent}},
                    Flaw{"refuses_after", {Breach::kRefusedRan}}, Flaw{"other_zone", {Breach::kWindow}},
                    Flaw{"two_at_once", {Breach::kParallel}}, Flaw{"six_attempts", {Breach::kTooMany}},
                    Flaw{"ignores_drains", {Breach::kDrained}}, Flaw{"floods_cold", {Breach::kPushedOver}}),
    [](const auto& info) { return std::string(info.param.name); });

// Several of them, which stand still, die and come late.
INSTANTIATE_TEST_SUITE_P(Forwarders, Flaws,
                         testing::Values(Flaw{"none", {}, "shared_rate"}, Flaw{"none", {}, "shared_plans"},
                                         Flaw{"none", {}, "shared_baskets"},
                                         Flaw{"ignores_expiry", {Breach::kOverBudget}, "shared_rate"},
                                         Flaw{"raises_early", {Breach::kOverBudget}, "shared_rate"},
                                         Flaw{"spends_after_a_pause", {Breach::kOverBudget}, "shared_rate"},
                                         Flaw{"sheds_upside_down", {Breach::kShedOrder}, "shared_plans"},
                                         Flaw{"blames_boxes", {Breach::kShedOrder}, "shared_plans"},
                                         Flaw{"stale_slot", {Breach::kTwoBoxes}, "shared_baskets"},
                                         Flaw{"both_open", {Breach::kTwoBoxes}, "shared_baskets"},
                                         Flaw{"slot_after_a_pause", {Breach::kTwoBoxes}, "shared_baskets"}),
                         [](const auto& info) {
                           return std::string(info.param.experiment) + "_" + info.param.name;
                         });

}  // namespace
}  // namespace shorelead::lab
