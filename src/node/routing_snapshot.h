// One generation of the configuration as used to route requests: classes, routes and pools. Shares ownership
// of the pools, so that a pool lives for as long as any generation can send to it. Immutable once requests
// are classified by it: a reload makes another.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "node/config.h"

namespace shorelead::node {

class Pool;
class FleetAdmission;

struct RoutingSnapshot {
  std::uint64_t number = 1;
  std::vector<RequestClass> classes;
  std::vector<std::string> names;  // of the classes
  std::vector<std::string> tenants;
  std::shared_ptr<const Routes> routes;  // null: the first path segment is the class, and all go to pool 0
  std::vector<std::shared_ptr<Pool>> pools;
  std::vector<std::vector<int>> class_in_pool;  // by pool and class; -1 = never sent to that pool
  std::vector<int> fallbacks;                   // by pool; -1 = none
  std::shared_ptr<FleetAdmission> admission;    // null: nothing is shared with other processes

  Millis longest_deadline() const {
    Millis longest = 0;
    for (const RequestClass& one : classes) longest = std::max(longest, one.deadline);
    return longest;
  }
};

// Where a request goes, by the generation that classified it.
struct RequestRoute {
  std::shared_ptr<const RoutingSnapshot> snapshot;
  int request_class = 0;
  int pool = 0;
  int route = -1;  // -1 where there are no routes
};

}  // namespace shorelead::node
