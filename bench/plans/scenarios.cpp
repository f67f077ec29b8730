// What is played, and why; see docs/plans-design.md.
#include <stdexcept>

#include "base/random.h"
#include "sim.h"

namespace shorelead::plans::sim {
namespace {

std::function<double(Millis)> steady(double load) {
  return [load](Millis) { return load; };
}

std::function<double(Millis)> between(Span span, double in, double out) {
  return [=](Millis now) { return span.holds(now) ? in : out; };
}

Scenario of(const std::string& name, std::function<double(Millis)> load) {
  Scenario scenario;
  scenario.name = name;
  scenario.load = std::move(load);
  return scenario;
}

// 100 to 310 ms each 2 to 5 s.
std::vector<Span> stalls(std::uint64_t seed, Millis length) {
  Random random(seed);
  std::vector<Span> all;
  for (Millis at = 2000; at < length; at += 2000 + 3000 * random.unit()) {
    all.push_back({at, at + 100 + 210 * random.unit()});
  }
  return all;
}

}  // namespace

std::vector<Scenario> scenarios(std::uint64_t seed) {
  std::vector<Scenario> all;
  all.push_back(of("twice", between({20000, 100000}, 2, 0.7)));
  all.push_back(of("twice, long queues at boxes", between({20000, 100000}, 2, 0.7)));
  all.back().queue = 40;
  all.push_back(of("half of the boxes die", steady(0.75)));
  all.back().dead = {20000, 90000};
  all.push_back(of("processes restart in a shortage", between({20000, 100000}, 1.5, 0.7)));
  all.back().restarts = {30000, 90000};
  all.push_back(of("processes restart in calm", steady(0.7)));
  all.back().restarts = {20000, 100000};
  all.push_back(of("stalls in calm", steady(0.65)));
  all.back().stalls = stalls(seed, all.back().length);
  all.push_back(of("stalls in a shortage", between({20000, 100000}, 1.5, 0.65)));
  all.back().stalls = stalls(seed, all.back().length);
  all.push_back(of("one liar in calm", steady(0.7)));
  all.back().liars = 1;
  all.push_back(of("one liar denies a shortage", between({20000, 100000}, 2, 0.7)));
  all.back().liars = 1;
  all.back().liars_deny = true;
  all.push_back(of("one hot process", steady(0.6)));
  all.back().hot = {20000, 100000};
  all.push_back(of("one bad zone", steady(0.7)));
  all.back().own_zone = true;
  all.back().bad_zone = {20000, 100000};
  all.push_back(of("one bad pool", steady(0.6)));
  all.back().bad_pool = {20000, 100000};
  // Half a second to a second at 1.5 times what the fleet can do, every 8 s.
  all.push_back(of("calm with bursts", [](Millis now) {
    const double in = now - 8000 * static_cast<int>(now / 8000);
    return in < 500 + 500 * (static_cast<int>(now / 8000) % 2) ? 1.5 : 0.6;
  }));
  all.push_back(of("store away in a shortage", between({20000, 100000}, 2, 0.7)));
  all.back().store_away = {40000, 80000};
  return all;
}

const Scenario& named(const std::vector<Scenario>& all, const std::string& name) {
  for (const Scenario& scenario : all) {
    if (scenario.name == name) return scenario;
  }
  throw std::invalid_argument("no scenario " + name);
}

}  // namespace shorelead::plans::sim
