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
    if (!snapshot.admission || !snapshot.admission->bounds_attempts(pool)) {
      snapshot.pools[n]->bound_attempts({});
      continue;
    }
    const std::shared_ptr<FleetAdmission> admission = snapshot.admission;
    snapshot.pools[n]->bound_attempts({[admission, pool] { return admission->attempts_left(pool); },
                                       [admission, pool] { admission->attempt_made(pool); }});
  }
}

}  // namespace

// One that shares the same as before goes on with what it has; another joins under another name, as the one
// before it lives until it has given all back.
std::shared_ptr<FleetAdmission> FleetAdmissions::make(const Config& config, const RoutingSnapshot* now) {
  if (!config.shared) return nullptr;
  FleetAdmission::Names names = FleetAdmission::names_of(config);
  if (now != nullptr && now->admission && now->admission->serves(*config.shared, names))
    return now->admission;
  std::string name = config.name;
  if (beside_) name.append("~").append(std::to_string(::getpid()));
  // By how many were made: of two reloads close together both may join.
  if (++made_ > 1) name.append(".").append(std::to_string(made_));
  std::random_device entropy;
  return std::make_shared<FleetAdmission>(loop_, *config.shared, config, name,
                                          (std::uint64_t{entropy()} << 32) ^ entropy(), again_);
}

// What the one before has under way in slots keeps its epoch, so it goes on as it is until that is over; and
// for a while for clients' repeats, which still go by it.
void FleetAdmissions::go_by(const RoutingSnapshot& before, const RoutingSnapshot& next) {
  if (before.admission && before.admission != next.admission) {
    before.admission->cease_reserve();
    left_.push_back({before.admission, loop_.now() + kMostPast});
    sweep();
  }
  if (in_force_ != next.admission) {
    in_force_ = next.admission;
    if (in_force_ && has_reserve_) in_force_->begin_reserve(longest_hold());
  }
  bound_attempts(next);
  if (next.admission && next.admission->keys() != nullptr) next.admission->keys()->watch(next.pools);
}

void FleetAdmissions::sweep() {
  loop_.cancel(sweep_);
  for (const Left& left : left_) {
    FleetAdmission& admission = *left.admission;
    const bool met =
        admission.keys() != nullptr && left.admission.use_count() > 1 && loop_.now() < left.until;
    if (met || admission.bound()) continue;
    if (admission.keys() != nullptr) admission.keys()->watch({});
    admission.leave();
  }
  std::erase_if(left_,
                [](const Left& left) { return left.admission->left() && left.admission.use_count() == 1; });
  if (!left_.empty()) sweep_ = loop_.after(kSweepEvery, [this] { sweep(); });
}

bool FleetAdmissions::give_back(const RoutingSnapshot& now) {
  bool all = true;
  const auto ask = [&all](FleetAdmission& admission) {
    if (!admission.bound()) admission.leave();
    all = all && admission.left();
  };
  if (now.admission) ask(*now.admission);
  for (const Left& left : left_) ask(*left.admission);
  return all;
}

Millis FleetAdmissions::longest_hold() const {
  Millis longest = 0;
  for (const Left& left : left_) longest = std::max(longest, left.admission->longest_hold());
  return longest;
}

Millis FleetAdmissions::give_reserve() {
  if (!std::exchange(has_reserve_, false) || !in_force_) return longest_hold();
  in_force_->cease_reserve();
  return std::max(longest_hold(), in_force_->longest_hold());
}

void FleetAdmissions::take_reserve(Millis before) {
  if (std::exchange(has_reserve_, true) || !in_force_) return;
  in_force_->begin_reserve(std::max(before, longest_hold()));
}

}  // namespace shorelead::node
