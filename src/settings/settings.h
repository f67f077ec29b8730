// The settings object that the operators give every instance, in the drill's first message and in a node's
// configuration alike. Owns the reading of that object; it must never read a deployment's names for meaning.
#pragma once

#include <string>
#include <vector>

#include "policy/policy.h"
#include "settings/fields.h"

namespace shorelead {

Settings parse_settings(const Json& object);

// What a host on sockets needs beside what the module is told: the names that stand in requests and lists,
// in the order of their numbers, and the times that bind connections.
struct HostSettings {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  Millis idle_timeout = 0;  // backends close connections that stood idle for so long
  Millis settle = 20;       // after an answer, in which a faulty backend may send a second one
};

HostSettings parse_host_settings(const Json& object);

}  // namespace shorelead
