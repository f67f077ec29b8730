#include "node/readiness.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "node/fleet_admission.h"
#include "node/pool.h"

namespace shorelead::node {

bool Readiness::admission_suffices(const RoutingSnapshot& snapshot) const {
  return snapshot.number != 1 || !snapshot.admission || snapshot.admission->told();
}

// Lists of earlier will do if discovery takes its time.
bool Readiness::lists_suffice(const RoutingSnapshot& snapshot, bool beside) const {
  bool told = true;
  bool pushed = false;
  bool known = false;
  bool unusable = false;
  for (const auto& pool : snapshot.pools) {
    told = told && pool->has_current_list();
    // While discovery is down it learns nothing, so what was known when it went down is all there is.
    pushed = pushed || (pool->pushed() && !pool->has_current_list() && !pool->unreached());
    known = known || pool->backends() > 0;
    unusable = unusable || (!pool->has_current_list() && !pool->may_use_given_list());
  }
  if (told) return true;
  const Millis wait = beside     ? waits_.beside
                      : unusable ? waits_.unusable_list
                      : pushed   ? waits_.pushed_list
                                 : waits_.list;
  return known && running() >= wait;
}

void Readiness::log_first(const RoutingSnapshot& snapshot) {
  if (std::exchange(logged_, true)) return;
  for (const auto& pool : snapshot.pools) {
    spdlog::info(
        "pool {}: ready {:.2f} s after the start, {}", pool->name(), running() / 1000,
        pool->has_current_list() ? "by a list told since" : "by the list given at the start: none was told");
  }
}

}  // namespace shorelead::node
