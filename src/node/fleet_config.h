// The fleet part of a .shore configuration: shared store, budgets, plans and affinity rules of the processes
// that act as one. Plain data.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>
#include <vector>

#include "affinity/rules.h"
#include "fleet/spec.h"
#include "plans/order.h"

namespace shorelead::node {

struct FleetConfig {
  std::vector<Poco::Net::SocketAddress> store;
  fleet::Sharing sharing;
  std::vector<fleet::Budget> budgets;
  std::vector<plans::PlanSpec> plans;
  std::vector<affinity::Rule> affinity;  // first match applies
  std::string client;  // lower-case name of the header that identifies a client of a tenant; empty = none
  std::string zone;

  bool operator==(const FleetConfig&) const = default;
};

}  // namespace shorelead::node
