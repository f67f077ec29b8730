// Parses the settings object that stands in the bench adapter's first message and in a node's configuration.
// Names of classes, tenants and zones are opaque: nothing is inferred from them.
#pragma once

#include <string>
#include <vector>

#include "policy/policy.h"
#include "settings/fields.h"

namespace shorelead {

Settings parse_settings(const Json& object);

// Settings that a node needs beside the policy's: names of classes, tenants and zones as they stand in
// requests and lists, in the order of their numbers, and times that apply to connections.
struct HostSettings {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  Millis idle_timeout = 0;  // backends close connections that were idle for so long
  Millis settle = 20;       // after a response, during which a faulty backend may send a second one
};

HostSettings parse_host_settings(const Json& object);

}  // namespace shorelead
