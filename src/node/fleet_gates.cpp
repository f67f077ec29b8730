#include "node/fleet_gates.h"

#include <unistd.h>

#include <algorithm>
#include <random>
#include <utility>

#include "node/pool.h"

namespace shorelead::node {
namespace {

constexpr Millis kSweepEvery = 50;
constexpr Millis kLeaveWait = 300;  // for the store, once nothing is under way
constexpr Millis kLeaveEvery = 5;

// What the fleet allows of further attempts is each pool's module's to keep to.
void bound_attempts(const Traffic& traffic) {
  for (std::size_t n = 0; n < traffic.pools.size(); ++n) {
    const int pool = static_cast<int>(n);
    if (!traffic.gate || !traffic.gate->bounds_attempts(pool)) {
      traffic.pools[n]->bound_attempts({});
      continue;
    }
    const std::shared_ptr<FleetGate> gate = traffic.gate;
    traffic.pools[n]->bound_attempts(
        {[gate, pool] { return gate->attempts_left(pool); }, [gate, pool] { gate->attempt_made(pool); }});
  }
}

}  // namespace

// One that shares the same as before goes on with what it has; another joins under another name, as the one
// before it lives until it has given all back.
std::shared_ptr<FleetGate> FleetGates::make(const Config& config, const Traffic* now) {
  if (!config.shared) return nullptr;
  // Better not to serve than to serve without what `must` promises.
  if (!config.shared->affinity.empty()) {
    throw FieldError(
        config.shared->affinity.front().place +
        ": error: rules of affinity are checked and explained, but not yet carried out by a node");
  }
  FleetGate::Names names = FleetGate::names_of(config);
  if (now != nullptr && now->gate && now->gate->serves(*config.shared, names)) return now->gate;
  std::string name = config.name;
  if (beside_) name.append("~").append(std::to_string(::getpid()));
  // By how many were made: of two reloads close together both may join.
  if (++made_ > 1) name.append(".").append(std::to_string(made_));
  std::random_device entropy;
  return std::make_shared<FleetGate>(loop_, *config.shared, config, name,
                                     (std::uint64_t{entropy()} << 32) ^ entropy());
}

void FleetGates::go_by(const Traffic& before, const Traffic& next) {
  if (before.gate && before.gate != next.gate) {
    before.gate->cease_reserve();
    before.gate->leave();
    left_.push_back(before.gate);
    sweep();
  }
  if (in_force_ != next.gate) {
    in_force_ = next.gate;
    if (in_force_ && has_reserve_) in_force_->begin_reserve(longest_hold());
  }
  bound_attempts(next);
}

void FleetGates::sweep() {
  loop_.cancel(sweep_);
  std::erase_if(left_, [](const auto& gate) { return gate->left() && gate.use_count() == 1; });
  if (!left_.empty()) sweep_ = loop_.after(kSweepEvery, [this] { sweep(); });
}

Millis FleetGates::longest_hold() const {
  Millis longest = 0;
  for (const auto& gate : left_) longest = std::max(longest, gate->longest_hold());
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

void FleetGates::leave(std::function<void()> done) {
  if (in_force_) in_force_->leave();
  look_if_left(loop_.now() + kLeaveWait, done);
}

void FleetGates::look_if_left(Millis until, const std::function<void()>& done) {
  const auto left = [](const auto& gate) { return gate->left(); };
  const bool all = (!in_force_ || left(in_force_)) && std::all_of(left_.begin(), left_.end(), left);
  if (all || loop_.now() >= until) return done();
  leaving_ = loop_.after(kLeaveEvery, [this, until, done] { look_if_left(until, done); });
}

}  // namespace shorelead::node
