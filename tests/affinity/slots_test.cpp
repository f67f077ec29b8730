// Properties of the slot map over random histories of units that come, go and change their weights.
#include "affinity/slots.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <map>

namespace shorelead::affinity {
namespace {

// Units are sorted by name, so that an index can be mapped to the next list by name.
struct World {
  std::map<std::string, double> weights;
  std::vector<std::string> owners;  // by slot; empty = no owner
  double bound = 1.25;

  std::vector<Unit> units() const {
    std::vector<Unit> all;
    for (const auto& [name, weight] : weights) all.push_back({name, weight});
    return all;
  }
  double part(const std::string& name) const {
    double sum = 0;
    for (const auto& [one, weight] : weights) sum += weight;
    return static_cast<double>(owners.size()) * weights.at(name) / sum;
  }
  std::map<std::string, int> held() const {
    std::map<std::string, int> all;
    for (const std::string& owner : owners) ++all[owner];
    return all;
  }
  // Runs one assignment and returns the number of slots that moved to each unit.
  std::map<std::string, int> step(std::size_t most = 1 << 20) {
    const std::vector<Unit> list = units();
    std::vector<int> places;
    for (const std::string& owner : owners) {
      const auto it = weights.find(owner);
      places.push_back(it == weights.end() ? kNoOwner : static_cast<int>(std::distance(weights.begin(), it)));
    }
    const std::vector<int> next = assign(places, list, {bound, most, true});
    std::map<std::string, int> to;
    for (std::size_t slot = 0; slot < owners.size(); ++slot) {
      const std::string& name = list[static_cast<std::size_t>(next[slot])].name;
      if (name != owners[slot]) ++to[name];
      owners[slot] = name;
    }
    return to;
  }
};

double gen_weight() { return *rc::gen::inRange(50, 400) / 100.0; }
std::string name_of(int n) { return "box-" + std::to_string(n); }

World gen_fresh() {
  World world;
  const int units = *rc::gen::inRange(2, 40);
  for (int n = 0; n < units; ++n) world.weights[name_of(n)] = gen_weight();
  world.owners.resize(*rc::gen::element<std::size_t>(512, 1024, 2048));
  world.bound = *rc::gen::element(1.0, 1.1, 1.25, 1.5, 2.0);
  world.step();
  return world;
}

World gen_world() {
  World world = gen_fresh();
  const int steps = *rc::gen::inRange(0, 8);
  for (int n = 0; n < steps; ++n) {
    const auto at =
        std::next(world.weights.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(world.weights)));
    const int kind = *rc::gen::inRange(0, 3);
    if (kind == 0 && world.weights.size() > 2) world.weights.erase(at);
    if (kind == 1) world.weights[name_of(100 + n)] = gen_weight();
    if (kind == 2) at->second = gen_weight();
    world.step();
  }
  return world;
}

// After any history each unit is within its bounds, and a second assignment changes nothing.
RC_GTEST_PROP(Slots, EveryUnitStaysWithinItsBounds, ()) {
  World world = gen_world();
  const auto held = world.held();
  for (const auto& [name, weight] : world.weights) {
    const auto it = held.find(name);
    const int has = it == held.end() ? 0 : it->second;
    RC_ASSERT(has <= std::ceil(world.part(name) * world.bound - 1e-6));
    RC_ASSERT(has >= std::floor(world.part(name) * kStarved + 1e-6) - 1);
  }
  RC_ASSERT(world.step().empty());
}

RC_GTEST_PROP(Slots, RemovedUnitMovesOnlyItsOwnSlots, ()) {
  World world = gen_world();
  const auto gone =
      std::next(world.weights.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(world.weights)));
  const std::string name = gone->first;
  world.weights.erase(gone);
  const std::vector<std::string> before = world.owners;
  world.step();
  world.step();
  for (std::size_t slot = 0; slot < before.size(); ++slot) {
    RC_ASSERT(world.owners[slot] == before[slot] || before[slot] == name);
  }
}

RC_GTEST_PROP(Slots, NewUnitTakesItsShareAndNoOtherSlotMoves, ()) {
  World world = gen_world();
  world.weights["box-new"] = gen_weight();
  const double part = world.part("box-new");
  const std::size_t most = *rc::gen::element<std::size_t>(3, 16, 1 << 20);
  int taken = 0;
  for (int rounds = 0; rounds < 2000; ++rounds) {
    const auto to = world.step(most);
    if (to.empty()) break;
    std::size_t moved = 0;
    for (const auto& [name, slots] : to) {
      RC_ASSERT(name == "box-new" || most < 512);
      moved += static_cast<std::size_t>(slots);
      taken += name == "box-new" ? slots : 0;
    }
    RC_ASSERT(moved <= most);
  }
  RC_ASSERT(taken <= kMaxTaken * part);
  RC_ASSERT(taken >= std::floor(part * kStarved));
}

// Also if the weights of the other units change at the same time.
RC_GTEST_PROP(Slots, NewUnitsTakeNoMoreIfOtherWeightsChange, ()) {
  World world = gen_world();
  for (auto& [name, weight] : world.weights) weight = gen_weight();
  for (int n = 0; n < 3; ++n) world.weights["box-new" + std::to_string(n)] = gen_weight();
  auto to = world.step();
  for (int n = 0; n < 3; ++n) {
    const std::string name = "box-new" + std::to_string(n);
    RC_ASSERT(to[name] <= kMaxTaken * world.part(name));
  }
}

RC_GTEST_PROP(Slots, SmallWeightChangesMoveNothing, ()) {
  World world = gen_fresh();
  const double root = std::sqrt(world.bound);
  const double least = (root - 1) / (root + 1);
  const auto calm = world.weights;
  const std::vector<std::string> before = world.owners;
  for (int n = 0; n < 5; ++n) {
    for (auto& [name, weight] : world.weights) {
      weight = calm.at(name) * (1 + least * *rc::gen::inRange(-100, 101) / 100.0);
    }
    world.step();
    RC_ASSERT(world.owners == before);
  }
}

// A held slot does not move, and while there is one nothing moves for balance.
RC_GTEST_PROP(Slots, HeldSlotsStay, ()) {
  World world = gen_world();
  const std::vector<Unit> units = world.units();
  std::vector<int> owners(world.owners.size(), 0);  // all slots at one unit: the others are starved
  const std::size_t held = *rc::gen::inRange<std::size_t>(0, owners.size());
  owners[held] = kHeld;
  const auto next = assign(owners, units, {world.bound, 1 << 20, true});
  RC_ASSERT(next == owners);
  owners[held] = kNoOwner;
  RC_ASSERT(assign(owners, units, {world.bound, 1 << 20, false})[held] != kNoOwner);
  RC_ASSERT(assign(owners, {}, {world.bound, 1 << 20, true}) == owners);
}

}  // namespace
}  // namespace shorelead::affinity
