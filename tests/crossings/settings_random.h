// Random valid settings and their text, a whole JSON configuration of a node. Keeps the drawn values, so that
// a test checks against them and not against what the parser made of the text.
#pragma once

#include <initializer_list>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "policy/policy.h"

namespace shorelead::node {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
  int below(int n) { return std::uniform_int_distribution<int>(0, n - 1)(engine_); }
  int between(int min, int max) { return min + below(max - min + 1); }
  double real(double min, double max) { return std::uniform_real_distribution<double>(min, max)(engine_); }
  bool chance(double share = 0.5) { return real(0, 1) < share; }
  template <typename T>
  T one_of(const std::vector<T>& values) {
    return values[static_cast<std::size_t>(below(static_cast<int>(values.size())))];
  }

 private:
  std::mt19937_64 engine_;
};

struct RandomClass {
  std::string name;
  Effect effect = Effect::kSafe;
  DedupGroup group = DedupGroup::kAll;
  Millis window = 0;
  Millis aim = 0;
  Millis deadline = 0;
  double worth = 1;
  double late_value = 0;
  bool streamed = false;
};

struct RandomSettings {
  std::vector<RandomClass> classes;
  std::vector<std::string> zones;
  std::vector<std::string> tenants;
  bool list_on_request = false;
  bool probing = false;
  bool cancelling = false;
  bool parallel = false;
  bool retry_after = false;
  Millis max_wait = 0;
  int attempts = 1;
  std::string other_members;  // further JSON members, which no test reads back

  std::string settings() const;
  std::string text() const;  // of a whole configuration
};

inline std::string number(double value) { return std::to_string(value); }
inline std::string flag(bool value) { return value ? "true" : "false"; }

// Appends the parts, after a comma if `text` is not empty.
inline void append_joined(std::string& text, std::initializer_list<std::string_view> parts) {
  if (!text.empty()) text += ',';
  for (const std::string_view part : parts) text += part;
}

inline std::string RandomSettings::settings() const {
  static const std::vector<std::string> kEffects = {"pure", "token", "side_effect"};
  static const std::vector<std::string> kGroups = {"all", "zone", "cell"};
  std::string class_members;
  for (const RandomClass& c : classes) {
    append_joined(class_members,
                  {R"({"Name":")", c.name, R"(","Aim":)", number(c.aim), R"(,"GiveUp":)", number(c.deadline),
                   R"(,"Effect":")", kEffects[static_cast<std::size_t>(c.effect)], R"(","Group":")",
                   kGroups[static_cast<std::size_t>(c.group)], R"(","DedupWindow":)", number(c.window),
                   R"(,"Worth":)", number(c.worth), R"(,"LateValue":)", number(c.late_value),
                   R"(,"Streamed":)", flag(c.streamed), "}"});
  }
  std::string zone_names;
  for (const std::string& zone : zones) append_joined(zone_names, {"\"", zone, "\""});
  std::string tenant_members;
  for (const std::string& tenant : tenants)
    append_joined(tenant_members, {R"({"Name":")", tenant, R"(","Share":0.1,"QuotaRps":12.5})"});
  std::string json;
  append_joined(json, {R"({"Services":[)",
                       class_members,
                       R"(],"Azs":[)",
                       zone_names,
                       R"(],"Tenants":[)",
                       tenant_members,
                       R"(],"RegistryMode":")",
                       list_on_request ? "subscribe" : "automatic",
                       R"(","Allowed":{"Probing":)",
                       flag(probing),
                       R"(,"Cancel":)",
                       flag(cancelling),
                       R"(,"ParallelTries":)",
                       flag(parallel),
                       R"(,"RetryAfter":)",
                       flag(retry_after),
                       R"(,"MaxRetryAfter":)",
                       number(max_wait),
                       R"(,"MostTries":)",
                       std::to_string(attempts),
                       ",",
                       other_members,
                       "}"});
  return json;
}

inline std::string RandomSettings::text() const {
  std::string json;
  append_joined(json, {R"({"name":"n","listen":"127.0.0.4:8081","discovery":"127.0.0.5:8500","seed":"1f",)",
                       R"("limits":{"cores":1.0,"memory_mb":192,"sockets":512},)",
                       R"("known":{"seq":1,"whole":true,"hosts":[]},"settings":)", settings(), "}"});
  return json;
}

inline RandomSettings random_settings(RandomSource& random) {
  RandomSettings settings;
  const std::vector<std::string> stems = {"a", "look-up", "Charge", "zz_9", "v2.export", "x~", "stock:out"};
  for (int n = random.one_of<int>({1, 1, 2, 3, 4, 9, 40}); n > 0; --n) {
    RandomClass c;
    c.name = random.one_of(stems) + std::to_string(n);
    c.effect = static_cast<Effect>(random.below(3));
    c.group = static_cast<DedupGroup>(random.below(3));
    c.window = random.one_of<double>({1, 40, 333, 800, 5000, 60000});
    c.deadline = random.one_of<double>({1, 30, 250, 700, 1000, 4000});
    c.aim = random.chance(0.2) ? 2 * c.deadline : random.real(0.1, 1) * c.deadline;
    c.worth = random.one_of<double>({0, 0.01, 1, 1, 10, 1000});
    c.late_value = random.one_of<double>({0, 0, 0.1, 1});
    c.streamed = random.chance(0.1);
    settings.classes.push_back(c);
  }
  for (int n = random.between(1, 5); n > 0; --n)
    settings.zones.push_back(std::string("z").append(std::to_string(n)));
  for (int n = random.one_of<int>({0, 0, 1, 7}); n > 0; --n)
    settings.tenants.push_back(std::string("t").append(std::to_string(n)));
  settings.list_on_request = random.chance();
  settings.probing = random.chance();
  settings.cancelling = random.chance();
  settings.parallel = random.chance();
  settings.retry_after = random.chance();
  settings.max_wait = random.one_of<double>({0, 50, 450, 30000});
  settings.attempts = random.between(1, 9);
  const int nodes = random.one_of<int>({1, 2, 5, 300});
  append_joined(settings.other_members,
                {R"("ConnIdle":)",
                 number(random.one_of<double>({0, 15000, 60000})),
                 R"(,"ConnectTimeout":)",
                 number(random.one_of<double>({20, 130, 250})),
                 R"(,"StreamsPerConn":)",
                 random.one_of<std::string>({"1", "100"}),
                 R"(,"PeerMessages":false},"Instances":)",
                 std::to_string(nodes),
                 R"(,"Me":)",
                 std::to_string(random.below(nodes)),
                 R"(,"Locality":)",
                 std::to_string(random.below(static_cast<int>(settings.zones.size()))),
                 R"(,"OverShareWorth":)",
                 number(random.real(0, 1)),
                 R"(,"Weights":")",
                 random.one_of<std::string>({"none", "nominal", "rough", "live"}),
                 R"(","Report":{"Source":")",
                 random.one_of<std::string>({"answers", "probe", "none"}),
                 R"(","Fields":["queue"]},"Costs":{"Probe":)",
                 number(random.one_of<double>({0, 0.002, 0.05, 10})),
                 R"(,"Peer":0},"Specifics":{"WarmKeys":false},"Invariants":{"ColdShare":)",
                 number(random.one_of<double>({0.02, 0.3, 1})),
                 R"(,"WarmUp":)",
                 number(random.one_of<double>({0, 900, 9000, 30000})),
                 R"(,"FallMultiple":)",
                 number(random.one_of<double>({0.5, 2.2, 4})),
                 R"(,"Fall":)",
                 number(random.one_of<double>({200, 1000, 3000})),
                 R"(,"StopSendingWithin":250,"AskEvery":)",
                 number(random.one_of<double>({100, 2000, 10000})),
                 "}"});
  return settings;
}

}  // namespace shorelead::node
