// What a node is told before it starts: the variables NODE_* and the JSON file that one of them names, and
// the form of the list that this file shares with discovery. It owns reading and checking them. It must never
// touch a socket, and never let a field that is missing or wrong pass for a default.
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
  double memory_mb = 0;  // 0 = not told
  int sockets = 1024;
};

// The keys that a file of the platform's has, as paths; empty for other files.
struct Shape {
  std::set<std::string> keys;

  // Throws FieldError with the first key that `before` has and this one has not.
  void covers(const Shape& before) const;
};

// Which requests are of which class and go to which pool, where the first part of the path does not tell.
using Routes = routing::Plan;

// Backends with a decision module, connections and a source of lists of their own.
struct PoolConfig {
  std::string name;
  std::optional<Poco::Net::SocketAddress> discovery;
  std::optional<membership::registry::Spec> registry;  // with neither, the backends are those in `known`
  std::optional<membership::Options> view;             // none: lists are believed as they come
  std::string keep;                                    // a file for the last good list; empty = none
  List known;
  Settings settings;         // with the classes that may come to it
  std::vector<int> classes;  // the number that each of the node's classes has here; -1 = it never comes
  HostSettings host;
  FleetOptions fleet;
  int fallback = -1;  // the pool that stands in for it where nobody is ready
};

struct Config {
  std::string name;
  Poco::Net::SocketAddress listen;
  Poco::Net::SocketAddress discovery;
  std::optional<Poco::Net::SocketAddress> admin;  // for operators; none: there is no admin server
  std::uint64_t seed = 0;
  Limits limits;
  Shape shape;
  List known;
  Settings settings;
  HostSettings host;
  std::shared_ptr<const Routes> routes;  // none: the first part of the path is the class
  FleetOptions fleet;                    // from the file of our own, if there is one
  // From a .shore file. Empty: there is one pool, which is what stands above.
  std::vector<PoolConfig> pools;
  std::optional<FleetConfig> shared;  // what this process shares with others; only .shore files say it
  std::vector<std::string> warnings;  // of the .shore file, in the checker's words
};

// The pools of any configuration, at least one.
std::vector<PoolConfig> pools_of(const Config& config);

// Where a value given outside the file wins over the one in it; empty = not given.
struct Overrides {
  std::string name;
  std::string listen;
  std::string discovery;
  std::string admin{};
};

// A flag wins over the variable of the same name; a variable tells of the start only, so where the file has
// been replaced since (`again`), the address of discovery that it names is the newer one.
Overrides merge(const Overrides& flags, const Overrides& variables, bool again);

// Throw FieldError with the field and the cause.
Config parse_config(std::string text, const Overrides& overrides);
// Flags and variables, merged, win over the file.
// The file is there and could not be read now, so what it says is not known: to be read again.
class UnreadableConfig : public FieldError {
 public:
  using FieldError::FieldError;
};

Config load_config(const std::string& path, const Overrides& flags, const Overrides& variables, bool again);
List parse_list(const Json& object);
List read_list(const std::string& text);
ListedBackend parse_backend(const Json& item);  // one entry of it

}  // namespace shorelead::node
