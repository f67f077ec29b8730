// Parsing, validation, comparison and migration of a node's configuration in all its formats.
#include "node/config.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidjson/document.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <set>
#include <tuple>

#include "node/config_diff.h"
#include "node/language_binding.h"
#include "node/list_reader.h"
#include "node/migrate.h"
#include "node/platform_file.h"

namespace shorelead::node {
namespace {

const std::string kList =
    R"({"seq":41,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.9:8081","site":"b","class":"m2","block":3,)"
    R"("health":"ready","share":1.5,"born_ms":1700000000000}]})";
const std::string kSettings =
    R"({"Instances":2,"Me":1,"Locality":1,"Azs":["a","b"],"RegistryMode":"subscribe","Novel":{},)"
    R"("Services":[{"Name":"check","Aim":400,"GiveUp":1000,"Effect":"token","Group":"zone","DedupWindow":800},)"
    R"({"Name":"charge","Aim":400,"GiveUp":1000,"Effect":"side_effect"}],)"
    R"("Allowed":{"Probing":true,"Cancel":true,"MostTries":3,"ConnIdle":60000,"ConnectTimeout":200},)"
    R"("Invariants":{"ColdShare":0.3,"WarmUp":9000,"FallMultiple":3,"Fall":1000,"AskEvery":10000}})";

std::string config(const std::string& change_from = "", const std::string& change_to = "") {
  std::string text = R"({"name":"n3","listen":"127.0.0.4:8081","discovery":"127.0.0.5:8500",)"
                     R"("seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},)"
                     R"("known":)" +
                     kList + R"(,"settings":)" + kSettings + "}";
  if (!change_from.empty()) text.replace(text.find(change_from), change_from.size(), change_to);
  return text;
}

TEST(Config, ParsesEveryField) {
  const Config read = parse_config(config(), {});
  EXPECT_EQ(read.name, "n3");
  EXPECT_EQ(read.listen.toString(), "127.0.0.4:8081");
  EXPECT_EQ(read.discovery.toString(), "127.0.0.5:8500");
  EXPECT_EQ(read.seed, 0x8c1f30d27a5be964U);
  EXPECT_EQ(read.limits.sockets, 1024);
  EXPECT_EQ(read.known.version, 41U);
  ASSERT_EQ(read.known.backends.size(), 1U);
  EXPECT_EQ(read.known.backends[0].host, "s-1");
  EXPECT_EQ(read.known.backends[0].cell, 3);
  EXPECT_EQ(read.known.backends[0].started, 1700000000000.0);
  EXPECT_EQ(read.host.classes, (std::vector<std::string>{"check", "charge"}));
  EXPECT_EQ(read.host.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(read.host.idle_timeout, 60000);
  EXPECT_EQ(read.settings.connect_timeout, 200);
  EXPECT_TRUE(read.settings.list_on_request);
}

TEST(Config, OverridesTakePrecedenceOverTheFile) {
  const Config read = parse_config(config(), {"n9", "127.0.0.7:1", "127.0.0.8:2"});
  EXPECT_EQ(read.name, "n9");
  EXPECT_EQ(read.listen.toString(), "127.0.0.7:1");
  EXPECT_EQ(read.discovery.toString(), "127.0.0.8:2");
}

// Environment variables date from the start of the process, so the address in a reloaded file is newer.
TEST(Config, AtAReloadTheFilesDiscoveryAddressTakesPrecedenceOverTheVariable) {
  const std::string path = testing::TempDir() + "shorelead_config_test.json";
  std::ofstream(path) << config();
  const Overrides variables{"n9", "127.0.0.7:1", "127.0.0.8:2"};
  EXPECT_EQ(load_config(path, {}, variables, false).discovery.toString(), "127.0.0.8:2");
  const Config again = load_config(path, {}, variables, true);
  EXPECT_EQ(again.discovery.toString(), "127.0.0.5:8500");
  EXPECT_EQ(again.name, "n9");
  EXPECT_EQ(again.listen.toString(), "127.0.0.7:1");
  const Overrides flags{"", "", "127.0.0.9:3"};
  EXPECT_EQ(load_config(path, flags, variables, true).discovery.toString(), "127.0.0.9:3");
  EXPECT_THROW(load_config(path + ".missing", {}, variables, true), FieldError);
  EXPECT_THROW(load_config("", {}, variables, false), FieldError);
  std::remove(path.c_str());
}

TEST(Config, ErrorsNameTheFieldAndTheCause) {
  const auto expect_error = [](const std::string& text, const std::string& words) {
    try {
      parse_config(text, {});
      ADD_FAILURE() << "accepted: " << words;
    } catch (const FieldError& error) {
      EXPECT_NE(std::string(error.what()).find(words), std::string::npos) << error.what();
    }
  };
  expect_error("{", "broken JSON");
  expect_error("[]", "not a JSON object");
  expect_error(config(R"("name":"n3",)"), "\"name\" is missing");
  expect_error(config("127.0.0.4:8081", "here:80"), "\"listen\" is not an address");
  expect_error(config("127.0.0.5:8500", "127.0.0.5"), "\"discovery\" is not an address");
  expect_error(config("127.0.0.5:8500", "127.0.0.5:70000"), "\"discovery\" is not an address");
  expect_error(config("8c1f30d27a5be964", "xyz"), "\"seed\"");
  expect_error(config("\"sockets\":1024", "\"sockets\":12"), "\"sockets\"");
  expect_error(config("\"seq\":41", "\"seq\":-1"), "\"seq\"");
  expect_error(config("127.0.0.9:8081", "nowhere"), "\"dial\"");
  expect_error(config("\"health\":\"ready\",", ""), "\"health\" is missing");
  expect_error(config("\"Effect\":\"token\"", "\"Effect\":\"odd\""), "unknown Effect");
  expect_error(config("\"Name\":\"charge\",", ""), "\"Name\" is missing");
  expect_error(config("\"Allowed\"", "\"Other\""), "\"Allowed\" is missing");
}

// Truncated files, missing keys and bad values: each is rejected with a message that names the key.
TEST(Config, InvalidSettingsAreRejectedWithTheKeyAndTheCause) {
  const Config in_force = parse_config(config(), {});
  const auto expect_error = [&in_force](const std::string& text, const std::string& words) {
    try {
      parse_config(text, {}).keys.require_all_of(in_force.keys);
      ADD_FAILURE() << "accepted: " << text;
    } catch (const FieldError& error) {
      EXPECT_NE(std::string(error.what()).find(words), std::string::npos) << error.what();
    }
  };
  int count = 0;
  const std::string whole = config();
  for (std::size_t cut = 0; cut < whole.size(); cut += whole.size() / 40, ++count)
    expect_error(whole.substr(0, cut), "broken JSON");
  const std::vector<std::pair<std::string, std::string>> without = {
      {R"("Aim":400,)", "Aim"},
      {R"("GiveUp":1000,)", "GiveUp"},
      {R"(,"Effect":"side_effect")", "Effect"},
      {R"("Name":"check",)", "Name"},
      {R"(,"DedupWindow":800)", "DedupWindow"},
      {R"("MostTries":3,)", "MostTries"},
      {R"(,"ConnectTimeout":200)", "ConnectTimeout"},
      {R"("Probing":true,)", "Probing"},
      {R"("Cancel":true,)", "Cancel"},
      {R"("ColdShare":0.3,)", "ColdShare"},
      {R"("WarmUp":9000,)", "WarmUp"},
      {R"("FallMultiple":3,)", "FallMultiple"},
      {R"(,"AskEvery":10000)", "AskEvery"},
      {R"("Instances":2,)", "Instances"},
      {R"("RegistryMode":"subscribe",)", "RegistryMode"},
      {R"("seed":"8c1f30d27a5be964",)", "seed"},
      {R"("Azs":["a","b"],)", "Azs"},
      {R"(,"sockets":1024)", "sockets"}};
  for (const auto& [key, name] : without) expect_error(config(key, ""), name), ++count;
  const std::vector<std::tuple<std::string, std::string, std::string>> wrong = {
      {"\"GiveUp\":1000", "\"GiveUp\":0", "\"GiveUp\" of \"check\" is not over 0"},
      {"\"GiveUp\":1000", "\"GiveUp\":-5", "\"GiveUp\" of \"check\" is not over 0"},
      {"\"GiveUp\":1000", "\"GiveUp\":\"1000\"", "\"GiveUp\" is not a number"},
      {"\"GiveUp\":1000", "\"GiveUp\":null", "\"GiveUp\" is missing"},
      {"\"Aim\":400", "\"Aim\":0", "\"Aim\" of \"check\" is not over 0"},
      {"\"MostTries\":3", "\"MostTries\":0", "\"MostTries\" is not over 0"},
      {"\"MostTries\":3", "\"MostTries\":-1", "\"MostTries\""},
      {"\"MostTries\":3", "\"MostTries\":2.5", "\"MostTries\""},
      {"\"DedupWindow\":800", "\"DedupWindow\":0", "\"DedupWindow\""},
      {"\"Name\":\"charge\"", "\"Name\":\"check\"", "\"check\" stands twice"},
      {"\"Name\":\"charge\"", "\"Name\":\"\"", "\"Name\" of a class is empty"},
      {"\"Group\":\"zone\"", "\"Group\":\"planet\"", "unknown Group"},
      {"\"Effect\":\"token\"", "\"Effect\":5", "\"Effect\""},
      {"\"Probing\":true", "\"Probing\":1", "\"Probing\""}};
  for (const auto& [from, to, words] : wrong) expect_error(config(from, to), words), ++count;
  EXPECT_GE(count, 60);
  // Classes may change their effect at a reload, and with it lose the keys that depend on the effect.
  EXPECT_NO_THROW(
      parse_config(config(R"("Effect":"token","Group":"zone","DedupWindow":800)", R"("Effect":"pure")"), {})
          .keys.require_all_of(in_force.keys));
}

TEST(Config, TheErrorForAMissingFileNamesIt) {
  try {
    load_config("/nonexistent/config.json", {}, {}, false);
    ADD_FAILURE();
  } catch (const FieldError& error) {
    EXPECT_NE(std::string(error.what()).find("/nonexistent/config.json"), std::string::npos);
  }
}

// A list may omit the address of a backend that is gone.
TEST(Config, GoneBackendsNeedNoAddress) {
  rapidjson::Document document;
  document.Parse(R"({"seq":2,"whole":false,"hosts":[{"host":"s-1","health":"gone"}]})");
  EXPECT_EQ(parse_list(document).backends.at(0).health, "gone");
}

// An unknown key or a bad value in the platform file is an error, never replaced by a default.
TEST(PlatformFile, ErrorsNameFileLineAndCause) {
  const std::pair<const char*, const char*> cases[] = {
      {"[subset]\nsise = 50",
       "own.toml:2: [subset] has no key \"sise\"; it knows: size, above, slack, nodes, index"},
      {"\n[subsets]\nsize = 50", "own.toml:2: [file] has no key \"subsets\"; it knows: subset, probes"},
      {"subset = 5", "own.toml:1: subset is not a table"},
      {"[subset]\nsize = \"50\"", "own.toml:2: size is not a number"},
      {"[subset]\nsize = 1", "own.toml:2: size is 1; it may be 2 to 100000"},
      {"[subset]\nsize = 2.5", "own.toml:2: size is not a whole number"},
      {"[subset]\nslack = nan", "own.toml:2: slack is not a number"},
      {"[subset]\nnodes = 10\nindex = 10", "own.toml:3: index is 10, but there are 10 nodes, counted from 0"},
      {"[probes]\nper_second = -1", "own.toml:2: per_second is -1; it may be 0.1 to 1e+06"},
      {"[probes]\nper_second = 1\nper_second = 2", "own.toml:3: "},
      {"[probes", "own.toml:1: "},
  };
  for (const auto& [text, cause] : cases) {
    Config read = parse_config(config(), {});
    try {
      apply_platform_file(text, "own.toml", read);
      ADD_FAILURE() << text << " was accepted";
    } catch (const FieldError& error) {
      EXPECT_EQ(std::string(error.what()).substr(0, std::string(cause).size()), cause) << text;
    }
  }
  Config read = parse_config(config(), {});
  EXPECT_THROW(load_platform_file("/nowhere/own.toml", read), FieldError);
}

TEST(PlatformFile, TheDeployedFileLimitsNodesPerBackendInALargeFleet) {
  // Found in runs at full size: 100 nodes before 60 backends, which accept few connections each. With
  // deploy/platform.toml at most 65 nodes use one backend; a fleet of the platform's first size (14) is used
  // whole by every node.
  for (const int backends : {60, 14}) {
    std::map<std::string, int> nodes;
    for (int me = 0; me < 100; ++me) {
      Config read = parse_config(config(), {});
      load_platform_file(SHORELEAD_DEPLOY "/platform.toml", read);
      ASSERT_TRUE(read.fleet.subset);
      subset::Subset subset(*read.fleet.subset, subset::Place{0, me, 100});
      for (int n = 0; n < backends; ++n) subset.put({"s-" + std::to_string(n), n % 3, 1, true});
      subset.update();
      EXPECT_LE(subset.size(), backends == 60 ? 38 : 14);  // 30 and the slack of a quarter
      for (const std::string& id : subset.members()) ++nodes[id];
    }
    for (const auto& [id, count] : nodes) EXPECT_LE(count, backends == 60 ? 65 : 100) << id;
    EXPECT_EQ(nodes.size(), static_cast<std::size_t>(backends)) << "each backend is used by a node";
  }
}

TEST(PlatformFile, NodeCountAndIndexComeFromTheJsonUnlessSet) {
  Config read = parse_config(config(), {});
  apply_platform_file("", "own.toml", read);
  EXPECT_FALSE(read.fleet.subset);  // off unless set
  apply_platform_file("[subset]\nsize = 20", "own.toml", read);
  ASSERT_TRUE(read.fleet.subset);
  EXPECT_EQ(read.fleet.subset->target, 20);
  EXPECT_EQ(read.fleet.subset->divide_above, 40);
  EXPECT_EQ(read.fleet.place.nodes, 2);
  EXPECT_EQ(read.fleet.place.index, 1);
  apply_platform_file("[subset]\nnodes = 1000\n[probes]\nper_box = 2.5", "own.toml", read);
  EXPECT_EQ(read.settings.instances, 1000);
  EXPECT_FALSE(read.fleet.place.index);
  EXPECT_EQ(read.settings.max_probes_per_backend, 2.5);
}

// ---- the configuration language ----

const std::string kShoreText = R"(
node n3 { listen 127.0.0.4:8081; discovery 127.0.0.5:8500; seed 8c1f30d27a5be964; memory 192 MiB; nodes 2; index 1; zone b }
class check { effect keyed; group zone; window 800 ms; aim 400 ms; give_up 1 s }
class charge { effect unsafe; aim 400 ms; give_up 1 s }
pool main {
  attempts 3; idle 60 s; connect_within 200 ms; zones a b; ask_every 10 s
  cold { share 30 %; warm_up 9 s; fall_multiple 3; fall_span 1 s }
}
)";

Config load(const std::string& text, const Overrides& overrides = {}) {
  language::Reader reader;
  reader.read = [&text](const std::string&) { return std::optional(text); };
  reader.glob = [](const std::string&) { return std::vector<std::string>(); };
  return load_shore("n3.shore", overrides, reader);
}

// The same deployment in both formats gives the same configuration, field by field.
TEST(Shore, GivesTheSameConfigAsTheJson) {
  const Config a = parse_config(config(), {});
  const Config b = load(kShoreText);
  EXPECT_EQ(a.name, b.name);
  EXPECT_EQ(a.listen, b.listen);
  EXPECT_EQ(a.discovery, b.discovery);
  EXPECT_EQ(a.seed, b.seed);
  EXPECT_EQ(a.limits.sockets, b.limits.sockets);
  EXPECT_EQ(a.limits.memory_mb, b.limits.memory_mb);
  EXPECT_EQ(a.host.classes, b.host.classes);
  EXPECT_EQ(a.host.zones, b.host.zones);
  EXPECT_EQ(a.host.idle_timeout, b.host.idle_timeout);
  const auto all = [](const Settings& s) {
    return std::tuple(s.instances, s.instance, s.zone, s.list_on_request, s.probing, s.cancelling,
                      s.parallel_attempts, s.advise_wait, s.max_wait_advice, s.max_attempts, s.ask_every,
                      s.connect_timeout, s.warm_up, s.cold_share, s.fall_multiple, s.fall_span,
                      s.max_probes_per_second, s.max_probes_per_backend);
  };
  EXPECT_EQ(all(a.settings), all(b.settings));
  ASSERT_EQ(a.settings.classes.size(), b.settings.classes.size());
  for (std::size_t n = 0; n < a.settings.classes.size(); ++n) {
    const auto one = [n](const Settings& s) {
      const RequestClass& c = s.classes[n];
      return std::tuple(c.effect, c.group, c.dedup_window, c.aim, c.deadline, c.aim_stretch, c.worth,
                        c.late_value, c.streamed);
    };
    EXPECT_EQ(one(a.settings), one(b.settings));
  }
  EXPECT_FALSE(b.fleet.subset);
}

TEST(Shore, ErrorsFoundByTheBindingNameTheirPlace) {
  const std::pair<const char*, const char*> changes[] = {
      {"discovery 127.0.0.5:8500", "discovery boxes.example.org:8500"},
      {"seed 8c1f30d27a5be964", "seed 8c1f30d27a5be964x"},
      {"zone b", "zone c"},
      {"attempts 3", "attempts 6"},
  };
  for (const auto& [from, to] : changes) {
    std::string text = kShoreText;
    text.replace(text.find(from), std::string(from).size(), to);
    try {
      load(text);
      ADD_FAILURE() << to << " was accepted";
    } catch (const FieldError& error) {
      EXPECT_EQ(std::string(error.what()).rfind("n3.shore:", 0), 0U) << error.what();
    }
  }
  EXPECT_EQ(load(kShoreText, {"n9", "127.0.0.9:1", ""}).listen.toString(), "127.0.0.9:1");  // overridden
}

// Routes are compiled on load; an unreachable route is an error that names its place and the other route's.
TEST(Shore, RoutesResolveToClassesAndUnreachableOnesAreRejected) {
  const std::string routes =
      "route results { path \"/v1/{id}/result\"; methods GET; header X-Version 2; class check }\n"
      "route rest { host *.example.org; path /v1/*; class charge }\n";
  const Config with = load(kShoreText + routes);
  ASSERT_TRUE(with.routes);
  const std::function<std::string_view(std::string_view)> version_header = [](std::string_view name) {
    return name == "x-version" ? "2" : "";
  };
  const auto to = [&](std::string_view host, std::string_view path) -> std::string {
    const auto rule = with.routes->table.find({host, path, "GET", &version_header});
    return rule ? with.routes->routes[*rule].name + " " +
                      std::to_string(with.routes->routes[*rule].request_class)
                : "";
  };
  EXPECT_EQ(to("h", "/v1/7/result"), "results 0");
  EXPECT_EQ(to("a.example.org:80", "/v1/7/result"), "rest 1");  // a rule with a host has precedence
  EXPECT_EQ(to("h", "/v2"), "");
  EXPECT_FALSE(load(kShoreText).routes);
  try {
    load(kShoreText + routes + "route again { host *.EXAMPLE.org; path /v1/*; class check }\n");
    ADD_FAILURE() << "an unreachable route was accepted";
  } catch (const FieldError& error) {
    EXPECT_EQ(std::string(error.what()),
              "n3.shore:11: error: route again: it is never reached: another route takes the same requests\n"
              "  n3.shore:10: here is route rest");
  }
}

// Other units, another order and defaults that are spelled out make no difference.
TEST(Shore, DifferencesAreOfBehaviourNotOfText) {
  const std::string routes = "route a { path \"/v1/{id}\"; methods GET POST; class check }\n";
  const std::string same =
      "route z { methods POST; path \"/v1/{key}\"; class check }\nroute y { methods GET; path \"/v1/{n}\"; "
      "class check }\n";
  std::string reordered = kShoreText + same;
  const std::pair<const char*, const char*> words[] = {
      {"aim 400 ms; give_up 1 s }\nclass charge", "give_up 1000 ms; aim 0.4 s; worth 1 }\nclass charge"},
      {"attempts 3; idle 60 s", "idle 1 min; probing yes"}};
  for (const auto& [from, to] : words) reordered.replace(reordered.find(from), std::string(from).size(), to);
  EXPECT_TRUE(differences(load(kShoreText + routes), load(reordered)).empty());
  const std::pair<const char*, const char*> changes[] = {
      {"attempts 3", "attempts 2"},
      {"give_up 1 s", "give_up 2 s"},
      {"window 800 ms", "window 900 ms"},
      {"share 30 %", "share 40 %"},
      {"zone b", "zone a"},
      {"class check }\n", "class charge }\n"},
      {"{id}\"", "{id}/x\""},
      {"GET POST", "GET"},
      {"fall_span 1 s", "fall_span 2 s"},
      {"pool main {", "pool main { subset { }"},
  };
  for (const auto& [from, to] : changes) {
    std::string text = kShoreText + routes;
    text.replace(text.find(from), std::string(from).size(), to);
    EXPECT_FALSE(differences(load(kShoreText + routes), load(text)).empty()) << to;
  }
  const auto found = differences(load(kShoreText), load(kShoreText + routes));
  ASSERT_EQ(found.size(), 3U);
  EXPECT_EQ(found[0].what, "route GET any host /v1/{}");
  EXPECT_EQ(found[0].after, "class check, pool main");
  EXPECT_EQ(found[2].what, "routes");
}

// ---- properties of whole configurations ----

// Choices that make up a configuration; a test can vary one. The text has random order and wording.
struct Choices {
  int classes = 1;
  int pools = 1;
  std::vector<int> aims;       // by class
  std::vector<int> attempts;   // by pool
  std::vector<int> fallbacks;  // by pool: a later one, or itself for none
  struct RouteChoice {
    int host = 0;
    int path = 0;
    int method = 0;
    int request_class = 0;
    int pool = 0;
    int share = 100;  // of `pool`; the rest goes to the next
  };
  std::vector<RouteChoice> routes;  // no two match the same requests
};

const char* const kHosts[] = {"", "a.example.org", "*.example.org"};
const char* const kPaths[] = {"/*", "/v1/{id}", "/v1/{id}/x", "/v1/a", "/"};
const char* const kMethods[] = {"", "GET", "POST"};

Choices gen_choices() {
  Choices c;
  c.classes = *rc::gen::inRange(1, 4);
  c.pools = *rc::gen::inRange(1, 4);
  for (int n = 0; n < c.classes; ++n) c.aims.push_back(*rc::gen::inRange(100, 105));
  for (int n = 0; n < c.pools; ++n) {
    c.attempts.push_back(*rc::gen::inRange(1, 6));
    c.fallbacks.push_back(*rc::gen::inRange(n, c.pools));  // itself = none
  }
  std::set<std::tuple<int, int, int>> seen;
  for (int n = *rc::gen::inRange(1, 8); n > 0; --n) {
    Choices::RouteChoice route{*rc::gen::inRange(0, 3),       *rc::gen::inRange(0, 5),
                               *rc::gen::inRange(0, 3),       *rc::gen::inRange(0, c.classes),
                               *rc::gen::inRange(0, c.pools), *rc::gen::element(100, 100, 60)};
    if (c.pools == 1) route.share = 100;
    if (seen.emplace(route.host, route.path, route.method).second) c.routes.push_back(route);
  }
  return c;
}

std::string gen_text(const Choices& c) {
  std::vector<std::string> blocks{"node n { listen 127.0.0.1:1; discovery 127.0.0.1:2; seed 1f }\n"};
  const auto name = [](const char* kind, int n) { return kind + std::to_string(n); };
  for (int n = 0; n < c.classes; ++n) {
    const int aim = c.aims[static_cast<std::size_t>(n)];
    const std::string aim_text =
        *rc::gen::arbitrary<bool>() ? std::to_string(aim) + " ms" : "0." + std::to_string(aim) + "s";
    blocks.push_back("class " + name("c", n) + " {\n effect safe # why\n give_up 1 s\n aim " + aim_text +
                     " }\n");
  }
  for (int n = 0; n < c.pools; ++n) {
    const int other = c.fallbacks[static_cast<std::size_t>(n)];
    blocks.push_back("pool " + name("p", n) + " { attempts " +
                     std::to_string(c.attempts[static_cast<std::size_t>(n)]) +
                     (other == n ? "" : "; fallback " + name("p", other)) +
                     (*rc::gen::arbitrary<bool>() ? "; probing yes }\n" : " }\n"));
  }
  int number = 0;
  for (const Choices::RouteChoice& route : c.routes) {
    std::string text = "route r" + std::to_string(*rc::gen::inRange(0, 1000) * 10 + number++) + " {";
    if (route.host > 0) text.append(" host ").append(kHosts[route.host]).append(";");
    text.append(" path \"")
        .append(kPaths[route.path])
        .append("\"; class ")
        .append(name("c", route.request_class));
    if (route.method > 0) text.append("; methods ").append(kMethods[route.method]);
    if (route.share == 100) {
      text.append("; pool ").append(name("p", route.pool));
    } else {
      const std::string first = "; split " + name("p", route.pool) + " 60 %";
      const std::string second = "; split " + name("p", (route.pool + 1) % c.pools) + " 40 %";
      text += *rc::gen::arbitrary<bool>() ? first + second : second + first;
      text.append("; by X-Client-ID");
    }
    blocks.push_back(text + " }\n");
  }
  std::string all;
  for (std::size_t n = blocks.size(); n > 0; --n) {
    std::swap(blocks[n - 1], blocks[*rc::gen::inRange<std::size_t>(0, n)]);
    all += blocks[n - 1];
  }
  return all;
}

// Describes the class, pools and attempts that a request gets, independent of route names.
std::string outcome(const Config& config, std::string_view host, std::string_view path,
                    std::string_view method, std::string_view client) {
  const auto rule = config.routes->table.find({host, path, method, nullptr});
  if (!rule) return "404";
  const routing::Route& route = config.routes->routes[*rule];
  const auto n = static_cast<std::size_t>(route.request_class);
  std::string text = config.host.classes[n] + " " + std::to_string(config.settings.classes[n].aim);
  for (int pool = routing::pool_for_key(route, client); pool >= 0;) {
    const PoolConfig& at = config.pools[static_cast<std::size_t>(pool)];
    text += " " + at.name + " " + std::to_string(at.settings.max_attempts);
    pool = at.fallback;
  }
  return text;
}

bool same_outcomes(const Config& a, const Config& b) {
  for (const char* host : {"a.example.org", "b.example.org", "c.org"}) {
    for (const char* path : {"/", "/v1/a", "/v1/7", "/v1/7/x", "/v2"}) {
      for (const char* method : {"GET", "POST", "PUT"}) {
        for (const char* client : {"1", "2", "3", "4"}) {
          if (outcome(a, host, path, method, client) != outcome(b, host, path, method, client)) return false;
        }
      }
    }
  }
  return true;
}

// The same choices in another order and wording, or formatted, make no difference.
RC_GTEST_PROP(Shore, NoDifferenceForAnEquivalentText, ()) {
  const Choices choices = gen_choices();
  const std::string text = gen_text(choices);
  const Config one = load(text);
  const Config other = load(gen_text(choices));
  RC_LOG() << text;
  RC_ASSERT(differences(one, other).empty());
  RC_ASSERT(same_outcomes(one, other));
  const Config formatted = load(language::format(language::parse(text, "t")));
  RC_ASSERT(differences(one, formatted).empty());
}

// If any request has another outcome, there is a difference; and each pool has every class that can reach it,
// under its own number.
RC_GTEST_PROP(Shore, ADifferenceWhereverARequestHasAnotherOutcome, ()) {
  const Choices before = gen_choices();
  Choices after = before;
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      after.aims[0] += 1;
      break;
    case 1:
      after.attempts.back() = after.attempts.back() % 5 + 1;
      break;
    case 2:
      after.routes.pop_back();
      break;
    case 3:
      after.routes.front().pool = (after.routes.front().pool + 1) % after.pools;
      break;
    default:
      after.fallbacks[0] = after.pools - 1;
      break;
  }
  RC_PRE(!after.routes.empty());
  const Config one = load(gen_text(before));
  const Config other = load(gen_text(after));
  if (differences(one, other).empty()) RC_ASSERT(same_outcomes(one, other));
  for (const routing::Route& route : one.routes->routes) {
    for (const routing::WeightedPool& weighted : route.weighted_pools) {
      for (int pool = weighted.pool; pool >= 0; pool = one.pools[static_cast<std::size_t>(pool)].fallback) {
        const PoolConfig& at = one.pools[static_cast<std::size_t>(pool)];
        const auto node_class = static_cast<std::size_t>(route.request_class);
        const int number = at.classes[node_class];
        RC_ASSERT(number >= 0);
        RC_ASSERT(at.host.classes[static_cast<std::size_t>(number)] == one.host.classes[node_class]);
        RC_ASSERT(at.settings.classes[static_cast<std::size_t>(number)] == one.settings.classes[node_class]);
      }
    }
  }
}

// A pool that was only renamed is one line, not a removed and an added pool.
TEST(Shore, ARenamedPoolIsOneDifference) {
  const std::string text =
      "node n { listen 127.0.0.1:1; discovery 127.0.0.1:2; seed 1f }\nclass c { effect safe; aim 1 s; "
      "give_up 1 s "
      "}\npool a { attempts 2 }\npool b { discovery 127.0.0.1:3; fallback a }\nroute r { path /x; class c; "
      "pool a "
      "}\nroute s { class c; pool b }\n";
  std::string renamed = text;
  for (const char* from : {"pool a {", "fallback a", "pool a }"}) {
    const std::size_t at = renamed.find(from);
    renamed.replace(renamed.find(" a", at), 2, " aa");
  }
  const auto found = differences(load(text), load(renamed));
  ASSERT_EQ(found.size(), 1U) << found[1].what << ": " << found[1].before << " -> " << found[1].after;
  EXPECT_EQ(found[0].what, "pool a: name");
  EXPECT_EQ(found[0].after, "aa");
}

// ---- sliced parsing of lists ----

// Parses a whole list; returns "ok" or "refused".
std::string read_whole(const std::string& text, List& list) {
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  try {
    if (document.HasParseError()) return "refused";
    list = parse_list(document);
  } catch (const FieldError&) {
    return "refused";
  }
  return "ok";
}

std::string read_sliced(const std::string& text, List& list, int slice) {
  ListReader reader(text);
  try {
    while (!reader.advance(slice)) continue;
  } catch (const FieldError&) {
    return "refused";
  }
  list = reader.take();
  return "ok";
}

// ListReader, which parses in slices, gives the same list or the same rejection as parsing at once, wherever
// a slice ends.
TEST(ListReader, SlicedParsingEqualsWholeParsing) {
  const std::string entry = R"({"host":"s-1","dial":"127.0.0.9:81","site":"b","health":"ready","share":2})";
  const std::string odd = R"({"host":"]}\\\"{[,","dial":"127.0.0.9:81","health":"ready","new":{"a":[1,{}]}})";
  const std::string cases[] = {
      R"({"seq":1,"whole":true,"hosts":[]})",
      R"({"hosts":[)" + entry + "," + odd + "," + entry + R"(],"whole":false,"seq":7})",
      " { \"a\" : { \"hosts\" : [ 1 , {} ] } , \"hosts\" : [ " + entry + " , " + odd + " ] , \"seq\" : 3 } ",
      R"({"seq":1,"hosts":[)" + entry + R"(,]})",
      R"({"seq":1,"hosts":[,)" + entry + R"(]})",
      R"({"seq":1,"hosts":[)" + entry + entry + R"(]})",
      R"({"seq":1,"hosts":[)" + entry + R"(]]})",
      R"({"seq":1,"hosts":[)" + entry + R"(})",
      R"({"seq":1,"hosts":[)" + entry,
      R"({"seq":1,"hosts":[5]})",
      R"({"seq":1,"hosts":{}})",
      R"({"seq":-1,"hosts":[]})",
      R"({"seq":1,"hosts":[{"host":"a"}]})",
      R"({"hosts":[]})",
      R"({"seq":1})",
      R"([1])",
      "",
      "x",
  };
  for (const std::string& text : cases) {
    List whole;
    const std::string verdict = read_whole(text, whole);
    for (const int slice : {1, 2, 1000}) {
      List sliced;
      EXPECT_EQ(read_sliced(text, sliced, slice), verdict) << text;
      EXPECT_EQ(sliced.backends, whole.backends) << text;
      EXPECT_EQ(sliced.version, whole.version) << text;
      EXPECT_EQ(sliced.whole, whole.whole) << text;
    }
  }
}

// The same for texts corrupted at random bytes.
RC_GTEST_PROP(ListReader, SlicedAndWholeParsingAgreeOnCorruptedTexts, ()) {
  std::string text = R"({"seq":4,"hosts":[{"host":"s-\"1","dial":"127.0.0.9:81","health":"ready"},)"
                     R"({"host":"s-2","health":"gone"}],"whole":true})";
  const auto corruptions = *rc::gen::inRange(1, 4);
  for (int n = 0; n < corruptions; ++n) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::elementOf(std::string("{}[],:\"\\ a1"));
    if (*rc::gen::arbitrary<bool>()) text.erase(*rc::gen::inRange<std::size_t>(0, text.size()), 1);
  }
  List whole;
  List sliced;
  const std::string verdict = read_whole(text, whole);
  RC_ASSERT(read_sliced(text, sliced, 1) == verdict);
  RC_ASSERT(sliced.backends == whole.backends);
}

// ---- migration to a node beside each client ----

TEST(Config, SettingsOfANodePerClientAreParsedAndChecked) {
  const auto with = [](const std::string& more) { return parse_config(config("\"Novel\":{}", more), {}); };
  const Config plain = parse_config(config(), {});
  EXPECT_TRUE(plain.settings.reports_with_answers);
  EXPECT_FALSE(plain.settings.peer_messages);
  EXPECT_EQ(plain.settings.kept_promises, 0);
  EXPECT_TRUE(plain.warnings.empty());
  const Config read =
      with(R"("Report":{"Source":"probe"},"Specifics":{"WarmKeys":true},"Costs":{"Probe":0.01,"Peer":0.02},)"
           R"("ScoringMix":{"KeptPromises":0.2,"BorneMisses":0.02})");
  EXPECT_FALSE(read.settings.reports_with_answers);
  EXPECT_EQ(read.settings.peer_price, 0.02);
  EXPECT_EQ(read.settings.kept_promises, 0.2);
  EXPECT_EQ(read.settings.borne_misses, 0.02);
  EXPECT_EQ(read.settings.idle_timeout, 60000);
  EXPECT_FALSE(read.settings.warm_keys) << "requests carry no key on the wire";
  ASSERT_EQ(read.warnings.size(), 1U);
  EXPECT_NE(read.warnings[0].find("WarmKeys"), std::string::npos);
  const std::map<std::string, std::string> broken = {
      {R"("Report":{"Source":"hearsay"})", "Source"},
      {R"("Report":{"Source":7})", "Source"},
      {R"("Report":[])", "Report"},
      {R"("Specifics":{"WarmKeys":"yes"})", "WarmKeys"},
      {R"("Costs":{"Peer":-1})", "Peer"},
      {R"("Costs":{"Peer":"dear"})", "Peer"},
      {R"("ScoringMix":{"KeptPromises":-0.1})", "KeptPromises"},
      {R"("ScoringMix":{"BorneMisses":2})", "BorneMisses"}};
  for (const auto& [text, key] : broken) {
    try {
      with(text);
      ADD_FAILURE() << text << " was accepted";
    } catch (const FieldError& error) {
      EXPECT_NE(std::string(error.what()).find(key), std::string::npos) << text << ": " << error.what();
    }
  }
}

bool has_line_for(const std::vector<std::string>& lines, const std::string& key) {
  return std::any_of(lines.begin(), lines.end(), [&](const std::string& l) { return l.rfind(key, 0) == 0; });
}

TEST(Migrate, WritesTheNewConfigAndListsRemainingSteps) {
  const Migration done = migrate(config(), "old.json", {97, 3});
  const Config read = parse_config(done.text, {});
  EXPECT_EQ(read.listen.toString(), "127.0.0.1:8081");
  EXPECT_EQ(read.settings.instances, 97);
  EXPECT_EQ(read.settings.instance, 3);
  EXPECT_FALSE(read.settings.reports_with_answers);
  EXPECT_FALSE(read.settings.list_on_request);
  EXPECT_TRUE(read.known.backends.empty());
  EXPECT_EQ(read.host.classes, (std::vector<std::string>{"check", "charge"}))
      << "settings that the migration does not concern stay";
  EXPECT_NE(done.text.find("\"Novel\""), std::string::npos) << "unknown keys stay too";
  EXPECT_TRUE(has_line_for(done.changed, "settings.Report.Source"));
  EXPECT_TRUE(has_line_for(done.remaining_steps, "known") && has_line_for(done.remaining_steps, "seed"));
  EXPECT_FALSE(has_line_for(done.remaining_steps, "settings.Instances"));
  EXPECT_TRUE(has_line_for(migrate(config(), "old.json", {}).remaining_steps, "settings.Instances"));
  EXPECT_EQ(migrate(config(), "old.json", {97, 3}).text, done.text);
  EXPECT_TRUE(migrate(done.text, "new.json", {97, 3}).already_migrated);
  EXPECT_THROW(migrate(config(), "old.json", {97, 97}), FieldError);
}

// Truncated at any byte: an error that names the file and the place or the missing key, never a result.
TEST(Migrate, ATruncatedOrInvalidFileIsRejectedWithItsPlace) {
  const std::string whole = config();
  for (std::size_t n = 0; n < whole.size(); n += 3) {
    try {
      migrate(whole.substr(0, n), "old.json", {97, 3});
      ADD_FAILURE() << "truncated at " << n << " was accepted";
    } catch (const FieldError& error) {
      EXPECT_EQ(std::string(error.what()).rfind("old.json:", 0), 0U) << error.what();
    }
  }
  EXPECT_THROW(migrate(config("\"Aim\":400", "\"Aim\":0"), "old.json", {97, 3}), FieldError);
  EXPECT_THROW(migrate(config("\"Allowed\":{", "\"Report\":7,\"Allowed\":{"), "old.json", {97, 3}),
               FieldError);
}

}  // namespace
}  // namespace shorelead::node
