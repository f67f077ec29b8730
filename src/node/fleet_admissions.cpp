#include "node/fleet_admissions.h"

#include <unistd.h>

#include <algorithm>
#include <random>
#include <utility>

#include "node/pool.h"

namespace shorelead::node {
namespace {

constexpr Millis kSweepEvery = 50;
constexpr Millis kMostPast = 30000;

// What the fleet allows of further attempts is each pool's module's to keep to.
void bound_attempts(const RoutingSnapshot& snapshot) {
  for (std::size_t n = 0; n < snapshot.pools.size(); ++n) {
    const int pool = static_cast<int>(n);
    if (!snapshot.gate || !snapshot.gate->bounds_attempts(pool)) {
      snapshot.pools[n]->bound_attempts({});
      continue;
    }
    const std::shared_ptr<FleetGate> gate = snapshot.gate;
    snapshot.pools[n]->bound_attempts(
        {[gate, pool] { return gate->attempts_left(pool); }, [gate, pool] { gate->attempt_made(pool); }});
  }
}

}  // namespace

// One that shares the same as before goes on with what it has; another joins under another name, as the one
// before it lives until it has given all back.
std::shared_ptr<FleetGate> FleetGates::make(const Config& config, const RoutingSnapshot* now) {
  if (!config.shared) return nullptr;
  FleetGate::Names names = FleetGate::names_of(config);
  if (now != nullptr && now->gate && now->gate->serves(*config.shared, names)) return now->gate;
  std::string name = config.name;
  if (beside_) name.append("~").append(std::to_string(::getpid()));
  // By how many were made: of two reloads close together both may join.
  if (++made_ > 1) name.append(".").append(std::to_string(made_));
  std::random_device entropy;
  return std::make_shared<FleetGate>(loop_, *config.shared, config, name,
                                     (std::uint64_t{entropy()} << 32) ^ entropy(), again_);
}

// What the one before has under way in slots keeps its epoch, so it goes on as it is until that is over; and
// for a while for clients' repeats, which still go by it.
void FleetGates::go_by(const RoutingSnapshot& before, const RoutingSnapshot& next) {
  if (before.gate && before.gate != next.gate) {
    before.gate->cease_reserve();
    left_.push_back({before.gate, loop_.now() + kMostPast});
    sweep();
  }
  if (in_force_ != next.gate) {
    in_force_ = next.gate;
    if (in_force_ && has_reserve_) in_force_->begin_reserve(longest_hold());
  }
  bound_attempts(next);
  if (next.gate && next.gate->keys() != nullptr) next.gate->keys()->watch(next.pools);
}

void FleetGates::sweep() {
  loop_.cancel(sweep_);
  for (const Left& left : left_) {
    FleetGate& gate = *left.gate;
    const bool met = gate.keys() != nullptr && left.gate.use_count() > 1 && loop_.now() < left.until;
    if (met || gate.bound()) continue;
    if (gate.keys() != nullptr) gate.keys()->watch({});
    gate.leave();
  }
  std::erase_if(left_, [](const Left& left) { return left.gate->left() && left.gate.use_count() == 1; });
  if (!left_.empty()) sweep_ = loop_.after(kSweepEvery, [this] { sweep(); });
}

bool FleetGates::give_back(const RoutingSnapshot& now) {
  bool all = true;
  const auto ask = [&all](FleetGate& gate) {
    if (!gate.bound()) gate.leave();
    all = all && gate.left();
  };
  if (now.gate) ask(*now.gate);
  for (const Left& left : left_) ask(*left.gate);
  return all;
}

Millis FleetGates::longest_hold() const {
  Millis longest = 0;
  for (const Left& left : left_) longest = std::max(longest, left.gate->longest_hold());
  return longest;
}

Millis FleetGates::give_reserve() {
  if (!std::exchange(has_reserve_, false) || !in_force_) return longest_hold();
  in_force_->cease_reserve();
  return std::max(longest_hold(), in_force_->longest_hold());
}

void FleetGates::take_reserve(Millis before) {
  if (std::exchange(has_reserve_, true) || !in_force_) return;
  in_force_->begin_reserve(std::max(before, longest_hold()));
}

}  // namespace shorelead::node
