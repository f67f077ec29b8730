// Which budgets of the fleet a request spends of, by where it goes and whose it is. Pure, immutable once
// made, no allocation when asked. It must never know how much is left.
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
  static constexpr std::size_t kMostBudgets = 64;

  // Scopes are names in `config`; budgets by their place in `fleet`.
  FleetRules(const FleetConfig& fleet, const Config& config);

  // A bit for each budget that counts for the request. `route` is -1 where there are none.
  std::uint64_t budgets_of(int pool, int route, int request_class, std::string_view tenant) const;
  // Of kind kAttempts, for a pool.
  std::uint64_t attempts_of(int pool) const { return attempts_ & at(pools_, pool); }

 private:
  static std::uint64_t at(const std::vector<std::uint64_t>& masks, int n) {
    return n < 0 || n >= static_cast<int>(masks.size()) ? ~std::uint64_t{0}
                                                        : masks[static_cast<std::size_t>(n)];
  }

  std::vector<std::uint64_t> pools_, routes_, classes_;  // by number: budgets that are not for another
  std::uint64_t any_tenant_ = 0;
  std::uint64_t any_route_ = 0;
  std::uint64_t attempts_ = 0;
  std::vector<std::pair<std::string, std::uint64_t>> tenants_;  // by name
};

}  // namespace shorelead::node
