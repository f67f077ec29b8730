// One generation of the configuration as traffic meets it: classes, routes, and the pools behind them. Owns
// its share of the pools, so that one lives for as long as any generation can send to it. It must never
// change once requests are read by it: a reload makes another.
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
  std::shared_ptr<const Routes> routes;  // none: the first part of the path is the class, all go to pool 0
  std::vector<std::shared_ptr<Pool>> pools;
  std::vector<std::vector<int>> class_in_pool;  // by pool and class; -1 = it never comes there
  std::vector<int> fallbacks;                   // by pool; -1 = none
  std::shared_ptr<FleetAdmission> admission;    // none: nothing is shared with other processes

  Millis longest_deadline() const {
    Millis longest = 0;
    for (const RequestClass& one : classes) longest = std::max(longest, one.deadline);
    return longest;
  }
};

// Where a request goes by the generation that read it.
struct Way {
  std::shared_ptr<const RoutingSnapshot> snapshot;
  int request_class = 0;
  int pool = 0;
  int route = -1;  // none where the first part of the path is the class
};

}  // namespace shorelead::node
