// Keys that move when backends or processes come and go, the fullest backend, and keys that two processes
// send to two backends while one of them has the older list: slots in the plan (src/affinity) beside modulo
// and plain weighted rendezvous hashing at each process. Prints a table; draws nothing from the clock.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "affinity/shaper.h"

namespace {

using namespace shorelead;
using namespace shorelead::affinity;

constexpr int kKeys = 200000;
using Backends = std::vector<BackendStatus>;
using Homes = std::vector<std::string>;  // by key; empty: its slot is closed

std::uint64_t key(int n) { return hash_of("customer-" + std::to_string(n)); }

Backends backends_of(int from, int to, bool even) {
  Backends backends;
  for (int n = from; n < to; ++n) {
    backends.push_back({"box-" + std::to_string(n), "", "", even || n % 2 == 0 ? 1.0 : 2.0, 1, false});
  }
  return backends;
}

Homes modulo(const Backends& backends) {
  Homes homes;
  for (int n = 0; n < kKeys; ++n) homes.push_back(backends[key(n) % backends.size()].name);
  return homes;
}

Homes rendezvous(const Backends& backends) {
  std::vector<std::pair<Unit, std::uint64_t>> units;
  for (const BackendStatus& backend : backends)
    units.push_back({{backend.name, backend.weight}, hash_of(backend.name)});
  Homes homes;
  for (int n = 0; n < kKeys; ++n) {
    const auto best = std::max_element(units.begin(), units.end(), [n](const auto& a, const auto& b) {
      return score(key(n), a.first, a.second) < score(key(n), b.first, b.second);
    });
    homes.push_back(best->first.name);
  }
  return homes;
}

// A fleet whose processes put each plan in force at once.
struct Slots {
  explicit Slots(std::size_t slots) {
    rule.name = "keys";
    rule.must = true;
    rule.slots = slots;
    shaper = Shaper({rule}, {});
  }
  Rule rule;
  Shaper shaper{{}, {}};
  fleet::Plan plan;
  std::vector<fleet::Record> records{12};
  Millis now = 0;
  int plans = 0;
  std::size_t most_closed = 0;

  void settle(const Backends& backends) {
    shaper.set_backends(backends);
    for (plans = 0, most_closed = 0; plans < 1000; ++plans) {
      fleet::Plan next = plan;
      ++next.epoch;
      shaper.shape(next, plan.epoch == 0 ? nullptr : &plan, records, now += 500);
      if (next.affinity == plan.affinity) return;
      plan = std::move(next);
      for (fleet::Record& record : records) record.epoch = plan.epoch;
      const auto& all = plan.affinity.at(map_name(rule)).slots;
      const auto closed = std::count_if(all.begin(), all.end(), [](const fleet::Slot& s) { return !s.open; });
      most_closed = std::max(most_closed, static_cast<std::size_t>(closed));
    }
  }
  Homes homes() {
    const auto& all = plan.affinity.at(map_name(rule)).slots;
    Homes homes;
    for (int n = 0; n < kKeys; ++n) {
      const fleet::Slot& slot = all[slot_of(key(n), all.size())];
      homes.push_back(slot.open ? slot.backend : "");
    }
    return homes;
  }
};

double moved(const Homes& a, const Homes& b) {
  int count = 0;
  for (int n = 0; n < kKeys; ++n) count += a[static_cast<std::size_t>(n)] != b[static_cast<std::size_t>(n)];
  return 100.0 * count / kKeys;
}

// The fullest backend's keys over its part by weight.
double fullest(const Homes& homes, const Backends& backends) {
  std::map<std::string, double> load;
  for (const std::string& home : homes) load[home] += 1;
  double weights = 0;
  for (const BackendStatus& backend : backends) weights += backend.weight;
  double most = 0;
  for (const BackendStatus& backend : backends)
    most = std::max(most, load[backend.name] * weights / backend.weight / kKeys);
  return most;
}

void backends_come_and_go(bool even) {
  const Backends all = backends_of(0, 50, even);
  Backends fewer = all;
  fewer.erase(fewer.begin() + 31);
  fewer.erase(fewer.begin() + 7);
  std::printf("\n2 of 50 boxes go, then come back; %s\n", even ? "all alike" : "weights 1 and 2");
  std::printf("%-16s %10s %10s %12s %12s %12s %16s\n", "", "go: moved", "back: moved", "fullest, 50",
              "fullest, 48", "back again", "at two boxes *");
  const auto row = [&](const char* name, const Homes& a, const Homes& b, const Homes& c, double two) {
    std::printf("%-16s %9.2f%% %9.2f%% %12.3f %12.3f %12.3f %15.2f%%\n", name, moved(a, b), moved(b, c),
                fullest(a, all), fullest(b, fewer), fullest(c, all), two);
  };
  double had = 0;
  double weights = 0;
  for (const BackendStatus& backend : all) weights += backend.weight;
  for (const int n : {7, 31}) had += all[static_cast<std::size_t>(n)].weight;
  const Homes m50 = modulo(all), m48 = modulo(fewer), r50 = rendezvous(all), r48 = rendezvous(fewer);
  row("modulo", m50, m48, m50, moved(m48, m50));
  row("rendezvous", r50, r48, r50, moved(r48, r50));
  for (const std::size_t slots : {1024u, 4096u}) {
    Slots ours(slots);
    ours.settle(all);
    const Homes before = ours.homes();
    ours.settle(fewer);
    const Homes during = ours.homes();
    const int plans = ours.plans;
    const std::size_t closed = ours.most_closed;
    ours.settle(all);
    const std::string name = std::to_string(slots) + " slots";
    row(name.c_str(), before, during, ours.homes(), 0);
    std::printf("  plans: %d with %zu slots closed at most (go), %d with %zu (back)\n", plans, closed,
                ours.plans, ours.most_closed);
  }
  std::printf("the two boxes' part by weight: %.2f%%\n", 100 * had / weights);
  std::printf("* keys that a process with the newer list and one with the older send to different boxes\n");
}

// Where a key's home hangs on the processes: each has an equal part of the backends, by count.
void processes_come_and_go() {
  const Backends backends = backends_of(0, 50, true);
  const auto homes = [&backends](const std::vector<int>& processes,
                                 const std::function<Homes(const Backends&)>& way) {
    Backends names;
    for (const int p : processes) names.push_back({"process-" + std::to_string(p), "", "", 1, 1, false});
    const Homes of = way(names);
    Homes all;
    for (int n = 0; n < kKeys; ++n) {
      std::size_t place = 0;
      while (names[place].name != of[static_cast<std::size_t>(n)]) ++place;
      const std::size_t from = place * backends.size() / names.size(),
                        to = (place + 1) * backends.size() / names.size();
      all.push_back(backends[from + (key(n) >> 8) % (to - from)].name);
    }
    return all;
  };
  std::vector<int> twelve, nine;
  for (int p = 0; p < 12; ++p) twelve.push_back(p);
  for (const int p : twelve) {
    if (p != 2 && p != 5 && p != 9) nine.push_back(p);
  }
  std::printf("\n3 of 12 processes go, then come back; 50 boxes stay\n%-36s %10s %10s\n", "", "go: moved",
              "back: moved");
  const auto row = [&](const char* name, const Homes& a, const Homes& b) {
    std::printf("%-36s %9.2f%% %9.2f%%\n", name, moved(a, b), moved(b, a));
  };
  row("boxes split over processes, modulo", homes(twelve, modulo), homes(nine, modulo));
  row("boxes split, rendezvous", homes(twelve, rendezvous), homes(nine, rendezvous));
  row("modulo over all boxes at each", modulo(backends), modulo(backends));
  row("rendezvous over all boxes at each", rendezvous(backends), rendezvous(backends));
  Slots ours(1024);
  ours.settle(backends);
  const Homes before = ours.homes();
  ours.records.resize(9);
  ours.settle(backends);
  const Homes during = ours.homes();
  ours.records.resize(12);
  ours.settle(backends);
  std::printf("%-36s %9.2f%% %9.2f%%\n", "1024 slots", moved(before, during), moved(during, ours.homes()));
}

}  // namespace

int main() {
  processes_come_and_go();
  backends_come_and_go(true);
  backends_come_and_go(false);
}
