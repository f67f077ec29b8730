// The configuration of a node: flags, the environment variables NODE_* and the JSON file that one of them
// names. Also parses the backend list, whose JSON format is the same in this file and in discovery's answers.
// A required field that is missing, or a field with a bad value, is an error and never replaced by a default.
// No network I/O.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership/registry/client.h"
#include "membership/view.h"
#include "node/fleet_config.h"
#include "node/policy_host.h"
#include "routing/plan.h"
#include "settings/settings.h"

namespace shorelead::node {

struct Limits {
  double cores = 1;
  double memory_mb = 0;  // 0 = not configured
  int sockets = 1024;
};

// The keys present in a JSON configuration, as dotted paths; empty for .shore files. A reload must not lose a
// key that the running configuration has.
struct ConfigKeys {
  std::set<std::string> paths;

  // Throws FieldError with the first key of `before` that is missing here.
  void require_all_of(const ConfigKeys& before) const;
};

// Maps requests to classes and pools where routes are configured; without routes, the first path segment
// names the class.
using Routes = routing::Plan;

// A group of backends with its own decision module, connections and source of backend lists.
struct PoolConfig {
  std::string name;
  std::optional<Poco::Net::SocketAddress> discovery;
  std::optional<membership::registry::Spec> registry;  // with neither, `known` is the static list
  std::optional<membership::Options> view;             // none: lists are applied as received
  std::string keep;  // path of the file with the last good list; empty = none
  List known;
  Settings settings;  // with only the classes whose requests can reach it
  std::vector<int>
      classes;  // by class of the node: its index in this pool's settings; -1 = cannot reach this pool
  HostSettings host;
  FleetOptions fleet;
  int fallback = -1;        // index of the pool used while no backend here is ready; -1 = none
  Millis requested_at = 0;  // of a reload: when it was requested, on the loop's clock
};

struct Config {
  std::string name;
  Poco::Net::SocketAddress listen;
  Poco::Net::SocketAddress discovery;
  std::optional<Poco::Net::SocketAddress> admin;  // none: no admin server is started
  std::uint64_t seed = 0;
  Limits limits;
  ConfigKeys keys;
  List known;
  Settings settings;
  HostSettings host;
  std::shared_ptr<const Routes> routes;  // none: the first path segment is the class
  FleetOptions fleet;                    // from the platform file, if there is one
  // From a .shore file. Empty: there is one pool, described by the fields above.
  std::vector<PoolConfig> pools;
  std::optional<FleetConfig> shared;  // state shared with other processes; only .shore files configure it
  std::vector<std::string> warnings;  // to be logged at start and reload
  Millis requested_at = 0;            // of a reload: when it was requested, on the loop's clock
};

// Returns the pools of a configuration in either format; at least one.
std::vector<PoolConfig> pools_of(const Config& config);

// Values from outside the file that take precedence over it; empty = not given.
struct Overrides {
  std::string name;
  std::string listen;
  std::string discovery;
  std::string admin{};
};

// A flag takes precedence over the variable of the same name. The environment is as old as the process, so at
// a reload (`reload`) the discovery address in the file takes precedence over the variable.
Overrides merge(const Overrides& flags, const Overrides& variables, bool reload);

// Throws FieldError with the field and the cause, as do the functions below.
Config parse_config(std::string text, const Overrides& overrides);
// The file exists but reading it failed, so its content is unknown; the caller may retry.
class UnreadableConfig : public FieldError {
 public:
  using FieldError::FieldError;
};

// The merged flags and variables take precedence over the file.
Config load_config(const std::string& path, const Overrides& flags, const Overrides& variables, bool reload);
List parse_list(const Json& object);
List read_list(const std::string& text);
ListedBackend parse_backend(const Json& item);  // one entry of a list

}  // namespace shorelead::node
