#include "node/readiness.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "node/fleet_admission.h"
#include "node/pool.h"

namespace shorelead::node {

bool Readiness::admission_suffices(const RoutingSnapshot& snapshot) const {
  return snapshot.number != 1 || !snapshot.admission || snapshot.admission->plan_settled();
}

// Older lists suffice if discovery does not answer in time.
bool Readiness::lists_suffice(const RoutingSnapshot& snapshot, bool with_predecessor) const {
  bool has_list = true;
  bool pushed = false;
  bool known = false;
  bool unusable = false;
  for (const auto& pool : snapshot.pools) {
    has_list = has_list && pool->has_current_list();
    // While discovery is down it pushes no list, so waiting for one gains nothing.
    pushed = pushed || (pool->pushed() && !pool->has_current_list() && !pool->unreached());
    known = known || pool->backends() > 0;
    unusable = unusable || (!pool->has_current_list() && !pool->may_use_given_list());
  }
  if (has_list) return true;
  const Millis wait = with_predecessor ? timeouts_.with_predecessor
                      : unusable       ? timeouts_.unusable_list
                      : pushed         ? timeouts_.pushed_list
                                       : timeouts_.list;
  return known && uptime() >= wait;
}

void Readiness::log_first_ready(const RoutingSnapshot& snapshot) {
  if (std::exchange(logged_ready_, true)) return;
  for (const auto& pool : snapshot.pools) {
    spdlog::info("pool {}: ready {:.2f} s after the start, {}", pool->name(), uptime() / 1000,
                 pool->has_current_list() ? "with a list from discovery"
                                          : "with the list given at the start, as discovery sent none");
  }
}

}  // namespace shorelead::node
