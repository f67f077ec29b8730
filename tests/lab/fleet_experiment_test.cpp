// Experiments with many processes: what is wrong with their words is named with its place; what is right is
// read.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "lab/experiment.h"

namespace shorelead::lab {
namespace {

const std::string kSound = R"(name = "x"
[nodes]
count = 4
later = [3]
shore = ["node n@index@ { store @store@ }", "two"]
[store]
prefix = "/f/"
[clients]
baskets = 8
[load]
rate = 100
for = "5 s"
[[class]]
name = "check"
effect = "safe"
aim = "410 ms"
give_up = "1 s"
work = "20 ms"
[[tenant]]
name = "a"
share = 3
[[budget]]
name = "all"
kind = "rate"
whole = 50
burst = 5
classes = ["check"]
[[rank]]
rank = 1
tenants = ["a"]
[[affinity]]
name = "baskets"
[[event]]
at = "1 s"
do = "pause"
for = "2 s"
nodes = [1]
)";

struct Bad {
  const char* from;  // empty = put at the end
  const char* to;
  const char* message;
};
void PrintTo(const Bad& bad, std::ostream* out) { *out << bad.to; }

class BadWords : public testing::TestWithParam<Bad> {};

TEST_P(BadWords, AreRefusedWithPlaceAndCause) {
  const std::string from = GetParam().from;
  std::string text = kSound;
  const std::size_t at = from.empty() ? text.size() : text.find(from);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, from.size(), GetParam().to);
  try {
    parse_experiment(text, "f");
    FAIL() << "let pass: " << GetParam().to;
  } catch (const ExperimentError& error) {
    EXPECT_STREQ(error.what(), GetParam().message);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, BadWords,
    testing::Values(
        Bad{"[store]\nprefix = \"/f/\"", "", "f:5:9: nothing is put in for \"@store@\""},
        Bad{"later = [3]", "later = [0, 1, 2, 3]", "f:4:9: no node is left to begin with"},
        Bad{"kind = \"rate\"", "kind = \"rates\"",
            "f:24:8: \"rates\" is none of rate, at_once, attempts; did you mean \"rate\"?"},
        Bad{"kind = \"rate\"", "kind = \"at_once\"", "f:26:9: only a rate has a \"burst\""},
        Bad{"burst = 5", "window = \"1 s\"",
            "f:26:10: attempts are counted in a \"window\", and nothing else is"},
        Bad{"burst = 5", "ratio = 0.1", "f:26:9: only attempts have a \"ratio\""},
        Bad{"classes = [\"check\"]", "classes = [\"chek\"]",
            "f:27:11: \"chek\" is none of check; did you mean \"check\"?"},
        Bad{"tenants = [\"a\"]", "tenants = [\"b\"]", "f:30:11: \"b\" is none of a; did you mean \"a\"?"},
        Bad{"tenants = [\"a\"]", "pool = \"b\"", "f:30:8: \"b\" is none of "},
        Bad{"baskets = 8", "", "f:31:1: [clients] has no \"baskets\""},
        Bad{"share = 3", "share = 0", "f:1:1: no tenant has a \"share\" over 0"},
        Bad{"for = \"2 s\"", "", "f:33:1: [[event]] needs \"for\""},
        Bad{"nodes = [1]", "back = \"1 s\"", "f:37:1: [[event]] has no key \"back\""},
        Bad{"", "[[event]]\nat = \"1 s\"\ndo = \"node_start\"\nnodes = [1]\n",
            "f:41:9: node 1 is not among [nodes] \"later\""},
        Bad{"", "[[event]]\nat = \"1 s\"\ndo = \"node_reload\"\ntext = 2\n",
            "f:41:8: \"text\" is 2, not from 0 to 1"},
        Bad{"", "[[event]]\nat = \"1 s\"\ndo = \"node_kill\"\nstay_away = true\nback = \"1 s\"\n",
            "f:42:8: it is to \"stay_away\""},
        Bad{"", "[[event]]\nat = \"1 s\"\ndo = \"cut\"\nfor = \"1 s\"\nway = \"ask\"\n",
            "f:42:7: \"ask\" is none of both, asks, answers; did you mean \"asks\"?"},
        Bad{"", "[[event]]\nat = \"1 s\"\ndo = \"cut\"\nfor = \"1 s\"\nfault = \"latency\"\n",
            "f:38:1: [[event]] needs \"latency\""},
        Bad{"", "[[event]]\nat = \"1 s\"\ndo = \"store\"\nfault = \"ful\"\n",
            "f:41:9: \"ful\" is none of down, restart, slow, deaf, full, cuts; did you mean \"full\"?"},
        Bad{"", "[[event]]\nat = \"1 s\"\ndo = \"store\"\nfault = \"full\"\n",
            "f:38:1: [[event]] needs \"for\""}));

TEST(FleetExperiment, ReadsWhatIsRight) {
  const Experiment e = parse_experiment(
      kSound + "[[event]]\nat = \"2 s\"\ndo = \"cut\"\nnodes = [0]\nway = \"answers\"\nfor = \"1 s\"\n" +
          "[[event]]\nat = \"3 s\"\ndo = \"store\"\nfault = \"restart\"\nforgets = 4\n" +
          "[[event]]\nat = \"3 s\"\ndo = \"rolling\"\n" +
          "[[event]]\nat = \"4 s\"\ndo = \"kill_planner\"\nholds = \"x\"\nfor = \"1 s\"\n",
      "f");
  EXPECT_TRUE(e.store.there);
  EXPECT_EQ(e.nodes.later, std::vector<int>{3});
  EXPECT_EQ(e.together.budgets.at(0), (BudgetRule{"all", Spending::kRate, 50, 5, 0, 0, {{0}, {}, -1}}));
  EXPECT_EQ(e.together.ranks.at(0), (RankRule{1, 0, {{}, {"a"}, -1}}));
  EXPECT_TRUE(e.together.keys.at(0).must);
  EXPECT_EQ(e.timeline.at(0).length, 2000);
  EXPECT_EQ(e.timeline.at(1).way, "answers");
  EXPECT_EQ(e.timeline.at(2).forgets, 4);
  EXPECT_EQ(e.timeline.at(3).every, 1000);
  EXPECT_EQ(e.timeline.at(4).holds, "x");
}

// One file laid over another: tables are joined, the rest is replaced; what is wrong is named where it
// stands.
TEST(FleetExperiment, IsLikeAnother) {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("like-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  const auto put = [&folder](const char* name, const std::string& text) {
    std::ofstream(folder / name) << text;
    return (folder / name).string();
  };
  const auto wrong = [&](const std::string& path) -> std::string {
    try {
      load_experiment(path);
      return "";
    } catch (const ExperimentError& error) {
      return std::string(error.what()).substr(folder.string().size() + 1);
    }
  };
  put("base.toml", kSound);
  const Experiment e = load_experiment(put(
      "a.toml",
      "like = \"base.toml\"\nname = \"y\"\n[nodes]\ncount = 9\n[[event]]\nat = \"2 s\"\ndo = \"rolling\"\n"));
  EXPECT_EQ(e.name, "y");
  EXPECT_EQ(e.nodes.count, 9);
  EXPECT_EQ(e.nodes.later, std::vector<int>{3});
  ASSERT_EQ(e.timeline.size(), 1U);
  EXPECT_EQ(e.timeline[0].kind, Action::Kind::kRolling);
  EXPECT_EQ(wrong(put("b.toml", "like = \"base.toml\"\n[nodes]\ncuont = 9\n")),
            "b.toml:3:1: [nodes] has no key \"cuont\"; did you mean \"count\"?");
  EXPECT_EQ(wrong(put("c.toml", "like = \"base.toml\"\n[nodes]\ncount = 3\n")),
            "base.toml:4:10: there is no node 3: they go from 0 to 2");
  EXPECT_EQ(wrong(put("d.toml", "like = \"none.toml\"\n")), "none.toml: cannot be read");
  EXPECT_EQ(wrong(put("e.toml", "like = \"e.toml\"\n")), "e.toml:1:8: too many files that are like another");
  std::filesystem::remove_all(folder);
}

TEST(FleetExperiment, AllOfThemAreRead) {
  int count = 0;
  for (const auto& file : std::filesystem::directory_iterator(SHORELEAD_EXPERIMENTS "/fleet")) {
    if (file.path().extension() != ".toml") continue;
    ++count;
    try {
      const Experiment e = load_experiment(file.path().string());
      EXPECT_EQ(e.name, file.path().stem().string());
      EXPECT_TRUE(e.store.there);
      EXPECT_FALSE(e.together.empty());
    } catch (const ExperimentError& error) {
      ADD_FAILURE() << error.what();
    }
  }
  EXPECT_GE(count, 19);
}

}  // namespace
}  // namespace shorelead::lab
