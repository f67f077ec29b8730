// The `serve` command: reads the configuration, takes over from a running process of the same node, and
// serves until SIGTERM.
#pragma once

#include <string>

#include "node/config.h"

namespace shorelead::node {

struct ServeOptions {
  std::string config;  // path of the configuration: the platform's JSON, or .shore
  std::string own;     // path of the additional TOML file for the platform's JSON; empty: none
  std::string log_level = "info";
  Overrides flags;
};

// Reads the configuration from the options, the environment and the files. Throws FieldError.
Config load(const ServeOptions& options, bool is_reload);

// Runs a node until SIGTERM and returns the exit code. Throws if the node cannot start.
int serve(const ServeOptions& options);

}  // namespace shorelead::node
