// What a route leads to: a class of requests and a pool, or several pools with shares, and the fallback of a
// pool without a ready backend. Pure functions from a key and the readiness of pools to a pool's number. A
// key changes its pool only when shares or pools change in a way that affects it.
//
// A split uses weighted rendezvous hashing (Thaler and Ravishankar 1998; weights by -w / ln(u), as in
// Schindelhauer and Schomaker 2005): each pool's score is computed from the key, the pool's name and its
// share, and the highest score wins. So the order of pools does not matter, and when one pool's share grows,
// keys move to it and none moves between the other pools.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/table.h"

namespace shorelead::routing {

struct WeightedPool {
  int pool = 0;
  double share = 1;  // 0 to 1; the shares of a route sum to 1
  std::string name;  // the pool's name: hashed in place of its number, which a reload may change
  bool operator==(const WeightedPool&) const = default;
};

struct Route {
  std::string name;
  std::string place;  // file:line
  int request_class = 0;
  std::vector<WeightedPool> weighted_pools{};  // empty = pool 0
  std::string by{};  // lower-case header field whose value is the key of the split; empty = no split
  bool same(const Route& o) const {
    return request_class == o.request_class && weighted_pools == o.weighted_pools && by == o.by;
  }
};

// All routes of one configuration; a rule of the table refers to its route by `target`.
struct Plan {
  Table table;
  std::vector<Rule> rules;
  std::vector<Route> routes;
  std::vector<int> fallbacks;  // by pool: the number of its fallback pool; -1 or absent = none
};

// Returns the number of the pool to which the route's split assigns this key.
int pool_for_key(const Route& route, std::string_view key);

// Returns the first pool with a ready backend along the chain of fallbacks that begins with `pool`; `pool`
// itself if there is none, so that the refusal is its own. Ends also when the fallbacks form a cycle.
int fallback_pool(const std::vector<int>& fallbacks, int pool, const std::function<bool(int)>& ready);

}  // namespace shorelead::routing
