// The command that runs one node: reads its configuration, takes over from the process before it, and serves
// until it is told to end. Owns the start alone.
#pragma once

#include <string>

#include "node/config.h"

namespace shorelead::node {

struct ServeOptions {
  std::string config;  // path of the configuration: the platform's JSON, or .shore
  std::string own;     // path of the node's own file, TOML; empty: none
  std::string log_level = "info";
  Overrides flags;
};

// As the options, the environment and the files say it now; `is_reload`: for a reload. Throws FieldError.
Config load(const ServeOptions& options, bool is_reload);

// Until SIGTERM; the exit code. Throws where the node cannot start.
int serve(const ServeOptions& options);

}  // namespace shorelead::node
