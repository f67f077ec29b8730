// Experiment files: what is wrong is named with file, line, column, cause and a likely fix; what is right is
// read.
#include "lab/experiment.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace shorelead::lab {
namespace {

// A sound file; each case puts one line in place of another, or at its end.
const std::string kSound = R"(name = "x"
seed = 3
settle = "1 s"
[fleet]
boxes = 4
zones = ["a", "b"]
warm_up = "3 s"
cold_from = 0.4
fall_multiple = 3
fall_span = "1 s"
latency = "1 ms"
[nodes]
count = 2
[clients]
retries = 1
[load]
arrivals = "poisson"
rate = 100
for = "5 s"
[[class]]
name = "check"
effect = "keyed"
group = "zone"
window = "800 ms"
aim = "410 ms"
give_up = "1 s"
work = "20 ms"
dist = "lognormal"
cv = 0.7
[[event]]
do = "kill"
at = "1 s"
boxes = [0]
)";

struct Bad {
  const char* from;  // empty = put at the end
  const char* to;
  const char* message;
};

std::string put(const Bad& bad) {
  std::string text = kSound;
  if (*bad.from == '\0') return text + bad.to;
  const std::size_t at = text.find(bad.from);
  EXPECT_NE(at, std::string::npos) << bad.from;
  return text.replace(at, std::string(bad.from).size(), bad.to);
}

class BadFiles : public testing::TestWithParam<Bad> {};

TEST_P(BadFiles, AreRefusedWithPlaceAndCause) {
  try {
    parse_experiment(put(GetParam()), "f.toml");
    FAIL() << "let pass: " << GetParam().to;
  } catch (const ExperimentError& error) {
    EXPECT_STREQ(error.what(), GetParam().message);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, BadFiles,
    testing::Values(
        Bad{"boxes = 4", "boxs = 4", "f.toml:5:1: [fleet] has no key \"boxs\"; did you mean \"boxes\"?"},
        Bad{"boxes = 4", "boxes = 0", "f.toml:5:9: \"boxes\" is 0, not from 1 to 20000"},
        Bad{"boxes = 4", "boxes = 4.5", "f.toml:5:9: \"boxes\" is not a whole number"},
        Bad{"boxes = 4", "boxes = \"4\"", "f.toml:5:9: \"boxes\" is not a whole number"},
        Bad{"aim = \"410 ms\"", "aim = 410",
            "f.toml:25:7: \"aim\" has no unit; \"410 ms\" was probably meant"},
        Bad{"aim = \"410 ms\"", "aim = \"410\"",
            "f.toml:25:7: \"410\" is not a time; write it as \"410 ms\", \"1.5 s\" or \"2 min\""},
        Bad{"aim = \"410 ms\"", "aim = \"410 mb\"",
            "f.toml:25:7: \"410 mb\" is not a time; write it as \"410 ms\", \"1.5 s\" or \"2 min\""},
        Bad{"aim = \"410 ms\"", "aim = \"-1 ms\"",
            "f.toml:25:7: \"-1 ms\" is not a time; write it as \"410 ms\", \"1.5 s\" or \"2 min\""},
        Bad{"aim = \"410 ms\"", "aim = \"2 s\"", "f.toml:25:7: \"aim\" is later than \"give_up\""},
        Bad{"aim = \"410 ms\"", "", "f.toml:20:1: [[class]] needs \"aim\""},
        Bad{"rate = 100", "rate = \"100 ms\"", "f.toml:18:8: \"rate\" is a plain number, not a time"},
        Bad{"rate = 100", "rate = true", "f.toml:18:8: \"rate\" is not a number"},
        Bad{"rate = 100", "rate = 0", "f.toml:18:8: \"rate\" is 0, not from 0.01 to 1e+06"},
        Bad{"arrivals = \"poisson\"", "arrivals = \"poison\"",
            "f.toml:17:12: \"poison\" is none of poisson, constant, bursts, ramp, trace; did you mean "
            "\"poisson\"?"},
        Bad{"arrivals = \"poisson\"", "arrivals = \"trace\"", "f.toml:16:1: [load] needs \"trace\""},
        Bad{"arrivals = \"poisson\"", "trace = \"x\"",
            "f.toml:17:9: \"trace\" is read only where arrivals = \"trace\""},
        Bad{"for = \"5 s\"", "for = \"0 s\"", "f.toml:19:7: \"for\" must be longer than none"},
        Bad{"effect = \"keyed\"", "effect = \"unsafe\"",
            "f.toml:23:9: only keyed requests have a group and a window"},
        Bad{"window = \"800 ms\"", "",
            "f.toml:20:1: a keyed class needs \"window\": how long boxes know its keys"},
        Bad{"name = \"check\"", "name = \"a/b\"",
            "f.toml:21:8: a class is named by a-z, 0-9, - and _: it stands in the path"},
        Bad{"dist = \"lognormal\"", "dist = \"constant\"",
            "f.toml:29:6: only a lognormal \"dist\" has a \"cv\""},
        Bad{"cold_from = 0.4", "cold_from = 0",
            "f.toml:8:13: a box that starts with none of its speed never warms up"},
        Bad{"cold_from = 0.4", "cold_from = 1.4", "f.toml:8:13: \"cold_from\" is 1.4, not from 0 to 1"},
        Bad{"fall_multiple = 3", "", "f.toml:10:13: \"fall_span\" says nothing without \"fall_multiple\""},
        Bad{"latency = \"1 ms\"", "jitter = \"1 ms\"",
            "f.toml:11:10: \"jitter\" is over \"latency\": a link would answer early"},
        Bad{"do = \"kill\"", "do = \"kil\"",
            "f.toml:31:6: \"kil\" is none of kill, stall, drain, deploy, slow, unlist, link, discovery, "
            "node_kill, "
            "node_term, node_reload, pause, node_start, rolling, cut, store, kill_planner, signals, crowd; "
            "did you mean "
            "\"kill\"?"},
        Bad{"boxes = [0]", "boxes = [4]", "f.toml:33:10: there is no box 4: they go from 0 to 3"},
        Bad{"boxes = [0]", "boxes = 0", "f.toml:33:9: \"boxes\" is not a list of numbers such as [0, 2]"},
        Bad{"boxes = [0]", "",
            "f.toml:30:1: say which boxes by just one of \"part\", \"boxes\" and \"zone\""},
        Bad{"boxes = [0]", "zone = \"c\"", "f.toml:33:8: there is no zone \"c\"; did you mean \"a\"?"},
        Bad{"at = \"1 s\"", "at = \"9 s\"", "f.toml:32:6: it comes after the load has ended"},
        Bad{"boxes = [0]", "boxes = [0]\nlatency = \"1 ms\"",
            "f.toml:34:1: [[event]] has no key \"latency\""},
        Bad{"", "[[event]]\ndo = \"stall\"\nat = \"1 s\"\nboxes = [0]\nleast = \"2 s\"\nmost = \"1 s\"\n",
            "f.toml:39:8: \"most\" is less than \"least\""},
        Bad{"", "[[event]]\ndo = \"link\"\nat = \"1 s\"\nboxes = [0]\nfault = \"black_hole\"\n",
            "f.toml:34:1: [[event]] needs \"for\""},
        Bad{"", "[[event]]\ndo = \"node_kill\"\nat = \"1 s\"\nnodes = [2]\n",
            "f.toml:37:10: there is no node 2: they go from 0 to 1"},
        Bad{"",
            "[[class]]\nname = \"check\"\neffect = \"safe\"\naim = \"1 s\"\ngive_up = \"1 s\"\nwork = \"1 "
            "ms\"\n",
            "f.toml:35:8: two classes are called \"check\""},
        Bad{"retries = 1", "bad_kinds = [\"noize\"]",
            "f.toml:15:13: \"noize\" is none of noise, endless_head, bad_length, negative_length, "
            "huge_length, big_body, "
            "no_class, bad_deadline, no_id, half, two_lengths, silent, both_framings, bare_lf, "
            "space_in_name; did you "
            "mean \"noise\"?"},
        Bad{"seed = 3", "seed = -3", "f.toml:2:8: \"seed\" is not a whole number from 0 up"},
        Bad{"[nodes]", "[node]", "f.toml:12:2: an experiment has no key \"node\"; did you mean \"nodes\"?"}));

TEST(Experiment, ReadsWhatIsRight) {
  const Experiment e = parse_experiment(kSound, "f.toml");
  EXPECT_EQ(e.fleet.boxes, 4);
  EXPECT_EQ(e.classes.at(0).rules.aim, 410);
  EXPECT_EQ(e.classes.at(0).rules.group, Group::kZone);
  EXPECT_EQ(e.load.span, 5000);
  EXPECT_EQ(e.timeline.at(0).at, 1000);
  EXPECT_EQ(parse_time("1.5 s"), 1500);
  EXPECT_EQ(parse_time("2min"), 120000);
  EXPECT_EQ(parse_time("250 us"), 0.25);
  for (const char* bad : {"", "s", "1", "1 h", "1e999 s", "nan ms", "1 ms ms", " 1 ms"})
    EXPECT_FALSE(parse_time(bad)) << bad;
}

TEST(Experiment, NamesTheLineOfABrokenTrace) {
  const std::string path =
      (std::filesystem::temp_directory_path() / ("trace-" + std::to_string(::getpid()))).string();
  LoadPlan load;
  load.arrivals = Arrivals::kTrace;
  load.trace = path;
  const auto wrong = [&](const std::string& text) -> std::string {
    std::ofstream(path) << text;
    try {
      plan(load, {"a", "b"}, 1);
      return "";
    } catch (const std::runtime_error& error) {
      return std::string(error.what()).substr(path.size());
    }
  };
  EXPECT_EQ(wrong("# a comment\n0 a\n10.5 b\n"), "");
  EXPECT_EQ(wrong("0 a\n5 c\n"), ":2: no class is called \"c\"");
  EXPECT_EQ(wrong("5 a\n4 a\n"), ":2: earlier than the line before");
  EXPECT_EQ(wrong("5 a 7\n"), ":1: more than \"milliseconds class\": \"7\"");
  EXPECT_EQ(wrong("a 5\n"), ":1: not \"milliseconds class\": \"a 5\"");
  std::filesystem::remove(path);
  EXPECT_EQ(wrong("0 a\n"), "");
  std::filesystem::remove(path);
  EXPECT_THROW(plan(load, {"a"}, 1), std::runtime_error);
}

}  // namespace
}  // namespace shorelead::lab
