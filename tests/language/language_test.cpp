// Tests of the configuration language: the exact message for each kind of error, from a file with that error;
// parsing and formatting as properties.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "language/check.h"
#include "language/reference.h"

namespace shorelead::language {
namespace {

namespace fs = std::filesystem;

std::string contents(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

// The messages for a file, with paths relative to its folder.
std::string messages_of(const fs::path& path) {
  std::string all;
  for (const Problem& problem : check(path.string(), disk()).problems) all += problem.text();
  const std::string folder = path.parent_path().lexically_normal().string() + "/";
  for (std::size_t at = 0; (at = all.find(folder)) != std::string::npos;) all.erase(at, folder.size());
  return all;
}

// Each .shore file has one error, and its message equals the .expected file beside it.
// SHORELEAD_WRITE_EXPECTED=1 rewrites the expected messages; review them before committing.
TEST(Broken, EveryFileGivesItsExpectedMessage) {
  int files = 0;
  for (const auto& entry : fs::directory_iterator(SHORELEAD_BROKEN)) {
    if (entry.path().extension() != ".shore") continue;
    ++files;
    fs::path expected = entry.path();
    expected.replace_extension(".expected");
    const std::string words = messages_of(entry.path());
    if (std::getenv("SHORELEAD_WRITE_EXPECTED") != nullptr)
      std::ofstream(expected, std::ios::binary) << words;
    EXPECT_EQ(words, contents(expected)) << entry.path();
    std::size_t mistakes = 0;
    for (std::size_t at = 0; (at = words.find(": error: ", at)) != std::string::npos; ++at) ++mistakes;
    EXPECT_EQ(mistakes, 1U) << entry.path() << "\n" << words;
  }
  EXPECT_GE(files, 150);
}

Reader memory(const std::map<std::string, std::string>& files) {
  Reader reader;
  reader.read = [files](const std::string& path) {
    const auto it = files.find(path);
    return it == files.end() ? std::nullopt : std::optional(it->second);
  };
  reader.glob = [files](const std::string& path) {
    return files.count(path) > 0 ? std::vector{path} : std::vector<std::string>();
  };
  return reader;
}

// All errors of all files are reported in one pass, in text order.
TEST(Check, ReportsAllErrorsInOnePass) {
  const Document document =
      check("main.shore", memory({{"main.shore", "include classes.shore\npol main {\n}\nnode {\n}\n"},
                                  {"classes.shore", "class a {\n  effect odd\n  aim 5\n}\n"}}));
  std::vector<std::string> places;
  for (const Problem& p : document.problems)
    places.push_back(p.place.file + ":" + std::to_string(p.place.line));
  const std::vector<std::string> wanted = {"main.shore:2",   "main.shore:4",    "main.shore:4",
                                           "main.shore:4",   "classes.shore:1", "classes.shore:2",
                                           "classes.shore:3"};
  EXPECT_EQ(places, wanted);
}

TEST(Check, IncludesVariablesAndUnits) {
  const Document document = check(
      "a/main.shore",
      memory({{"a/main.shore",
               "include \"more.shore\"\nnode n {\n listen 127.0.0.1:1\n discovery 127.0.0.1:2; "
               "seed 1f; memory 64 MiB }\npool p { subset { slack 25 % }\n probes { per_box 120 rpm } }\n"},
              {"a/more.shore", "let wait = 0.41 s\nclass c { effect safe; aim $wait; give_up 1min }"}}));
  for (const Problem& p : document.problems) ADD_FAILURE() << p.text();
  ASSERT_EQ(document.sections.size(), 3U);
  EXPECT_EQ(document.find("class")->number("aim"), 410);
  EXPECT_EQ(document.find("class")->number("give_up"), 60000);
  EXPECT_EQ(document.find("node")->number("memory"), 64 * 1048576.0);
  EXPECT_EQ(document.find("pool")->find("subset")->number("slack"), 0.25);
  EXPECT_EQ(document.find("pool")->find("probes")->number("per_box"), 2);
}

// The committed reference page equals the one that the schema generates.
TEST(Reference, IsCurrent) {
  EXPECT_EQ(contents(SHORELEAD_DOCS "/configuration-reference.md"), reference_page())
      << "shorelead config reference > docs/configuration-reference.md";
}

// The example configurations have no errors or warnings and are in canonical form.
TEST(Example, HasNoWarningsAndIsFormatted) {
  for (const char* const name : {"example", "fleet"}) {
    const std::string path = std::string(SHORELEAD_DOCS "/../deploy/") + name + ".shore";
    const Document document = check(path, disk());
    for (const Problem& p : document.problems) ADD_FAILURE() << p.text();
    for (const Problem& p : document.warnings) ADD_FAILURE() << p.text();
    EXPECT_EQ(format(parse(contents(path), path)), contents(path));
  }
}

// ---- warnings ----

// Each of these is valid, so that the node starts, but probably not intended.
TEST(Warnings, EachIsReportedOnce) {
  const std::string base =
      "node n { listen 127.0.0.1:1; discovery 127.0.0.1:2; seed 1f; nodes 2 }\n"
      "class c { effect safe; aim 400 ms; give_up 1 s }\npool p { }\n";
  const std::pair<std::string, std::string> cases[] = {
      {"let x = 5", "nothing uses \"$x\""},
      {"shared s { attempts 3 }", "nothing uses what is shared as \"s\""},
      {"class d { effect safe; aim 1 s; give_up 1 s }\nroute r { class c }", "no route leads to class d"},
      {"pool q { }\nroute r { class c; pool p }", "no route leads to pool q"},
      {"pool q { }\nroute r { class c; split p 100 %; split q 0 %; by X-A }",
       "route r gives pool q a share of nothing"},
      {"class d { effect safe; aim 1 s; give_up 1 s; late_value 5 % }", "no answer of class d is late"},
      {"pool q { connect_within 1 s }\nroute r { class c; pool p }\nroute s { path /q; class c; pool q }",
       "connect_within never binds"},
      {"pool q { probing no; probes { per_box 5 rps } }\nroute r { class c; pool p }\nroute s { path /q; "
       "class "
       "c; pool q }",
       "ceilings of probes never bind"},
      {"pool q { box b { dial 127.0.0.1:3 }; subset { size 4 } }\nroute r { class c; pool p }\nroute s { "
       "path "
       "/q; class c; pool q }",
       "this subset is never drawn"},
      {"pool q { box b { dial 127.0.0.1:3 }; probes { per_second 100 rps; per_box 5 rps } }\nroute r { class "
       "c; "
       "pool p }\nroute s { path /q; class c; pool q }",
       "per_second never binds: per_box alone allows 2.5 rps"},
  };
  const auto warned = [&](const std::string& more) {
    const Document document = check("w.shore", memory({{"w.shore", base + more + "\n"}}));
    std::string all;
    for (const Problem& p : document.problems) all += "not to be: " + p.text();
    for (const Problem& p : document.warnings) all += p.text();
    return all;
  };
  EXPECT_EQ(warned(""), "");
  for (const auto& [more, words] : cases) {
    const std::string all = warned(more);
    EXPECT_NE(all.find("warning: " + words), std::string::npos) << more << "\n" << all;
    EXPECT_EQ(all.find("warning: "), all.rfind("warning: ")) << all;
  }
}

// ---- formatting preserves the meaning ----

rc::Gen<std::string> gen_name() {
  return rc::gen::element<std::string>("class", "aim", "a.b/c", "x1", "include", "let", "_", "10.0.0.1:80");
}

std::string gen_line(int depth) {
  std::string text;
  const int blanks = *rc::gen::inRange(0, 4);
  text.append(static_cast<std::size_t>(blanks), *rc::gen::element(' ', '\t', '\n'));
  if (*rc::gen::inRange(0, 5) == 0)
    return text + "#" + *rc::gen::element<std::string>("", " why", "x {", " \"") + "\n";
  text += *gen_name();
  for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
    text += *rc::gen::element<std::string>(" ", "  ", "\t");
    text +=
        *rc::gen::element<std::string>("410 ms", "410ms", "5", "-0.35", "35 %", "35%", "word", "$v",
                                       "\"a b\"", "\"\\\"\\\\\\n#{\"", "\"\"", "1.2.3", "7x", "64 KiB", "=");
  }
  if (depth < 3 && *rc::gen::inRange(0, 3) == 0) {
    text += *rc::gen::element<std::string>(" {", "{ ", " { # here\n", "{\n\n");
    for (int n = *rc::gen::inRange(0, 4); n > 0; --n) text += gen_line(depth + 1);
    return text + *rc::gen::element<std::string>("}", "\n}\n", "} ", "# last\n}");
  }
  return text + *rc::gen::element<std::string>("\n", ";", " # behind\n", "\r\n");
}

RC_GTEST_PROP(Format, KeepsMeaningAndCommentsAndIsIdempotent, ()) {
  std::string text;
  for (int n = *rc::gen::inRange(0, 6); n > 0; --n) text += gen_line(0);
  const Tree tree = parse(text, "t");
  RC_PRE(tree.problems.empty());
  const std::string formatted = format(tree);
  const Tree reparsed = parse(formatted, "t");
  RC_LOG() << text << "\n--\n" << formatted;
  RC_ASSERT(reparsed.problems.empty());
  RC_ASSERT(reparsed.same(tree));
  RC_ASSERT(format(reparsed) == formatted);
}

// Any bytes: no crash, every place lies within the text, and there are at most two problems for each byte.
RC_GTEST_PROP(Parse, AcceptsAnyBytes, ()) {
  std::string text;
  for (const char c : *rc::gen::container<std::vector<char>>(
           rc::gen::element('{', '}', '"', '\\', '#', '$', 'a', '1', ' ', '\n', ';', '%', '\0', '\xff'))) {
    text += c;
  }
  const Tree tree = parse(text, "t");
  RC_ASSERT(tree.problems.size() <= 2 * text.size());
  for (const Problem& p : tree.problems) {
    RC_ASSERT(p.place.line >= 1 && p.place.line <= static_cast<int>(tree.lines.size()));
    RC_ASSERT(!p.text().empty());
  }
}

TEST(Parse, TooDeepBlocksAreReported) {
  std::string text;
  for (int n = 0; n < 100000; ++n) text += "a{";
  const Tree tree = parse(text, "t");
  ASSERT_FALSE(tree.problems.empty());
  EXPECT_NE(tree.problems[0].cause.find("64 deep"), std::string::npos);
}

}  // namespace
}  // namespace shorelead::language
