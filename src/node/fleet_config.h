// What a .shore file says of the fleet that this process is one of. Pure data, as the parts in force read it.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>
#include <vector>

#include "fleet/spec.h"
#include "plans/order.h"

namespace shorelead::node {

struct FleetConfig {
  std::vector<Poco::Net::SocketAddress> store;
  fleet::Sharing sharing;
  std::vector<fleet::Budget> budgets;
  std::vector<plans::PlanSpec> plans;
  std::string client;  // the header that tells a tenant's clients apart, in small letters; empty = none
  std::string zone;

  bool operator==(const FleetConfig&) const = default;
};

}  // namespace shorelead::node
