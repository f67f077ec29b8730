// Settings as some deployment may have them, drawn at random within what the settings page allows, and their
// text: a whole configuration of a node. Owns what was drawn, so that a test judges by that and not by what
// was read of it.
#pragma once

#include <initializer_list>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "policy/policy.h"

namespace shorelead::node {

class Chance {
 public:
  explicit Chance(std::uint64_t seed) : engine_(seed) {}
  int below(int n) { return std::uniform_int_distribution<int>(0, n - 1)(engine_); }
  int from(int least, int most) { return least + below(most - least + 1); }
  double real(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(engine_);
  }
  bool yes(double share = 0.5) { return real(0, 1) < share; }
  template <typename T>
  T one_of(const std::vector<T>& all) {
    return all[static_cast<std::size_t>(below(static_cast<int>(all.size())))];
  }

 private:
  std::mt19937_64 engine_;
};

struct MadeClass {
  std::string name;
  Effect effect = Effect::kSafe;
  DedupGroup group = DedupGroup::kAll;
  Millis window = 0;
  Millis aim = 0;
  Millis deadline = 0;
  double worth = 1;
  double late = 0;
  bool streamed = false;
};

struct Made {
  std::vector<MadeClass> classes;
  std::vector<std::string> zones;
  std::vector<std::string> tenants;
  bool ask = false;
  bool probes = false;
  bool cancel = false;
  bool parallel = false;
  bool retry_after = false;
  Millis most_wait = 0;
  int attempts = 1;
  std::string rest;  // members that no test judges by

  std::string settings() const;
  std::string text() const;  // of a configuration
};

inline std::string number(double value) { return std::to_string(value); }
inline std::string flag(bool value) { return value ? "true" : "false"; }

// Pieces in a row; a comma between them and what is there.
inline void put(std::string& all, std::initializer_list<std::string_view> pieces) {
  if (!all.empty()) all += ',';
  for (const std::string_view piece : pieces) all += piece;
}

inline std::string Made::settings() const {
  static const std::vector<std::string> kEffects = {"pure", "token", "side_effect"};
  static const std::vector<std::string> kGroups = {"all", "zone", "cell"};
  std::string services;
  for (const MadeClass& c : classes) {
    put(services,
        {R"({"Name":")", c.name, R"(","Aim":)", number(c.aim), R"(,"GiveUp":)", number(c.deadline),
         R"(,"Effect":")", kEffects[static_cast<std::size_t>(c.effect)], R"(","Group":")",
         kGroups[static_cast<std::size_t>(c.group)], R"(","DedupWindow":)", number(c.window), R"(,"Worth":)",
         number(c.worth), R"(,"LateValue":)", number(c.late), R"(,"Streamed":)", flag(c.streamed), "}"});
  }
  std::string places;
  for (const std::string& zone : zones) put(places, {"\"", zone, "\""});
  std::string shares;
  for (const std::string& tenant : tenants)
    put(shares, {R"({"Name":")", tenant, R"(","Share":0.1,"QuotaRps":12.5})"});
  std::string all;
  put(all, {R"({"Services":[)",
            services,
            R"(],"Azs":[)",
            places,
            R"(],"Tenants":[)",
            shares,
            R"(],"RegistryMode":")",
            ask ? "subscribe" : "automatic",
            R"(","Allowed":{"Probing":)",
            flag(probes),
            R"(,"Cancel":)",
            flag(cancel),
            R"(,"ParallelTries":)",
            flag(parallel),
            R"(,"RetryAfter":)",
            flag(retry_after),
            R"(,"MaxRetryAfter":)",
            number(most_wait),
            R"(,"MostTries":)",
            std::to_string(attempts),
            ",",
            rest,
            "}"});
  return all;
}

inline std::string Made::text() const {
  std::string all;
  put(all, {R"({"name":"n","listen":"127.0.0.4:8081","discovery":"127.0.0.5:8500","seed":"1f",)",
            R"("limits":{"cores":1.0,"memory_mb":192,"sockets":512},)",
            R"("known":{"seq":1,"whole":true,"hosts":[]},"settings":)", settings(), "}"});
  return all;
}

inline Made made(Chance& chance) {
  Made m;
  const std::vector<std::string> stems = {"a", "look-up", "Charge", "zz_9", "v2.export", "x~", "stock:out"};
  for (int n = chance.one_of<int>({1, 1, 2, 3, 4, 9, 40}); n > 0; --n) {
    MadeClass c;
    c.name = chance.one_of(stems) + std::to_string(n);
    c.effect = static_cast<Effect>(chance.below(3));
    c.group = static_cast<DedupGroup>(chance.below(3));
    c.window = chance.one_of<double>({1, 40, 333, 800, 5000, 60000});
    c.deadline = chance.one_of<double>({1, 30, 250, 700, 1000, 4000});
    c.aim = chance.yes(0.2) ? 2 * c.deadline : chance.real(0.1, 1) * c.deadline;
    c.worth = chance.one_of<double>({0, 0.01, 1, 1, 10, 1000});
    c.late = chance.one_of<double>({0, 0, 0.1, 1});
    c.streamed = chance.yes(0.1);
    m.classes.push_back(c);
  }
  for (int n = chance.from(1, 5); n > 0; --n) m.zones.push_back(std::string("z").append(std::to_string(n)));
  for (int n = chance.one_of<int>({0, 0, 1, 7}); n > 0; --n)
    m.tenants.push_back(std::string("t").append(std::to_string(n)));
  m.ask = chance.yes();
  m.probes = chance.yes();
  m.cancel = chance.yes();
  m.parallel = chance.yes();
  m.retry_after = chance.yes();
  m.most_wait = chance.one_of<double>({0, 50, 450, 30000});
  m.attempts = chance.from(1, 9);
  const int nodes = chance.one_of<int>({1, 2, 5, 300});
  put(m.rest, {R"("ConnIdle":)",
               number(chance.one_of<double>({0, 15000, 60000})),
               R"(,"ConnectTimeout":)",
               number(chance.one_of<double>({20, 130, 250})),
               R"(,"StreamsPerConn":)",
               chance.one_of<std::string>({"1", "100"}),
               R"(,"PeerMessages":false},"Instances":)",
               std::to_string(nodes),
               R"(,"Me":)",
               std::to_string(chance.below(nodes)),
               R"(,"Locality":)",
               std::to_string(chance.below(static_cast<int>(m.zones.size()))),
               R"(,"OverShareWorth":)",
               number(chance.real(0, 1)),
               R"(,"Weights":")",
               chance.one_of<std::string>({"none", "nominal", "rough", "live"}),
               R"(","Report":{"Source":")",
               chance.one_of<std::string>({"answers", "probe", "none"}),
               R"(","Fields":["queue"]},"Costs":{"Probe":)",
               number(chance.one_of<double>({0, 0.002, 0.05, 10})),
               R"(,"Peer":0},"Specifics":{"WarmKeys":false},"Invariants":{"ColdShare":)",
               number(chance.one_of<double>({0.02, 0.3, 1})),
               R"(,"WarmUp":)",
               number(chance.one_of<double>({0, 900, 9000, 30000})),
               R"(,"FallMultiple":)",
               number(chance.one_of<double>({0.5, 2.2, 4})),
               R"(,"Fall":)",
               number(chance.one_of<double>({200, 1000, 3000})),
               R"(,"StopSendingWithin":250,"AskEvery":)",
               number(chance.one_of<double>({100, 2000, 10000})),
               "}"});
  return m;
}

}  // namespace shorelead::node
