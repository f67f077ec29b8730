#include "node/fleet_admissions.h"

#include <unistd.h>

#include <algorithm>
#include <random>
#include <utility>

#include "node/pool.h"

namespace shorelead::node {
namespace {

constexpr Millis kSweepInterval = 50;
constexpr Millis kReplacedLifetime = 30000;  // for clients' repeats of keyed requests

// The fleet's retry budgets are enforced by the decision module of each pool.
void set_retry_allowances(const RoutingSnapshot& snapshot) {
  for (std::size_t n = 0; n < snapshot.pools.size(); ++n) {
    const int pool = static_cast<int>(n);
    if (!snapshot.admission || !snapshot.admission->bounds_retries(pool)) {
      snapshot.pools[n]->set_retry_allowance({});
      continue;
    }
    const std::shared_ptr<FleetAdmission> admission = snapshot.admission;
    snapshot.pools[n]->set_retry_allowance({[admission, pool] { return admission->retries_left(pool); },
                                            [admission, pool] { admission->count_retry(pool); }});
  }
}

}  // namespace

// A generation that shares the same as before keeps the fleet admission. Another one joins under another
// name, as the one before it stays a member until it has returned its shares.
std::shared_ptr<FleetAdmission> FleetAdmissions::make(const Config& config, const RoutingSnapshot* now) {
  if (!config.shared) return nullptr;
  FleetAdmission::Names names = FleetAdmission::names_of(config);
  if (now != nullptr && now->admission && now->admission->serves(*config.shared, names))
    return now->admission;
  std::string name = config.name;
  if (successor_) name.append("~").append(std::to_string(::getpid()));
  // Numbered, as of two reloads close together both may join.
  if (++made_ > 1) name.append(".").append(std::to_string(made_));
  std::random_device entropy;
  return std::make_shared<FleetAdmission>(loop_, *config.shared, config, name,
                                          (std::uint64_t{entropy()} << 32) ^ entropy(), reconsider_);
}

// Requests that are in flight in slots of the previous fleet admission depend on its epoch, so it stays a
// member until they have ended; and for a while longer for clients' repeats, which still use it.
void FleetAdmissions::switch_to(const RoutingSnapshot& before, const RoutingSnapshot& next) {
  if (before.admission && before.admission != next.admission) {
    before.admission->cease_reserve();
    replaced_.push_back({before.admission, loop_.now() + kReplacedLifetime});
    sweep();
  }
  if (in_force_ != next.admission) {
    in_force_ = next.admission;
    if (in_force_ && has_reserve_) in_force_->begin_reserve(longest_hold());
  }
  set_retry_allowances(next);
  if (next.admission && next.admission->affinity_router() != nullptr)
    next.admission->affinity_router()->watch(next.pools);
}

void FleetAdmissions::sweep() {
  loop_.cancel(sweep_timer_);
  for (const Replaced& replaced : replaced_) {
    FleetAdmission& admission = *replaced.admission;
    const bool in_use = admission.affinity_router() != nullptr && replaced.admission.use_count() > 1 &&
                        loop_.now() < replaced.until;
    if (in_use || admission.has_places()) continue;
    if (admission.affinity_router() != nullptr) admission.affinity_router()->watch({});
    admission.leave();
  }
  std::erase_if(replaced_, [](const Replaced& replaced) {
    return replaced.admission->left() && replaced.admission.use_count() == 1;
  });
  if (!replaced_.empty()) sweep_timer_ = loop_.after(kSweepInterval, [this] { sweep(); });
}

bool FleetAdmissions::give_back(const RoutingSnapshot& now) {
  bool all = true;
  const auto leave = [&all](FleetAdmission& admission) {
    if (!admission.has_places()) admission.leave();
    all = all && admission.left();
  };
  if (now.admission) leave(*now.admission);
  for (const Replaced& replaced : replaced_) leave(*replaced.admission);
  return all;
}

Millis FleetAdmissions::longest_hold() const {
  Millis longest = 0;
  for (const Replaced& replaced : replaced_) longest = std::max(longest, replaced.admission->longest_hold());
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
