// Which of the fleet's budgets apply to a request, by its pool, route, class and tenant. Pure, immutable, and
// allocates nothing per request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "node/config.h"

namespace shorelead::node {

class FleetRules {
 public:
  static constexpr std::size_t kMaxBudgets = 64;  // one bit each

  // Scopes refer to names in `config`; a budget's bit is its index in `fleet`.
  FleetRules(const FleetConfig& fleet, const Config& config);

  // A bit for each budget that applies to the request. `route` is -1 where there are no routes.
  std::uint64_t budgets_of(int pool, int route, int request_class, std::string_view tenant) const;
  // The retry budgets (kind kAttempts) of a pool.
  std::uint64_t attempts_of(int pool) const { return attempts_ & at(pools_, pool); }

 private:
  static std::uint64_t at(const std::vector<std::uint64_t>& masks, int n) {
    return n < 0 || n >= static_cast<int>(masks.size()) ? ~std::uint64_t{0}
                                                        : masks[static_cast<std::size_t>(n)];
  }

  std::vector<std::uint64_t> pools_, routes_, classes_;  // by number: the budgets whose scope includes it
  std::uint64_t any_tenant_ = 0;
  std::uint64_t any_route_ = 0;
  std::uint64_t attempts_ = 0;
  std::vector<std::pair<std::string, std::uint64_t>> tenants_;  // by name
};

}  // namespace shorelead::node
