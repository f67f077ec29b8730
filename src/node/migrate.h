// Migrates a JSON configuration for a pool of nodes that clients reach over the network (the old deployment
// shape) to one for a node beside each client process (the new shape), and lists what could not be migrated.
// No file I/O: the command line reads and writes the files.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shorelead::node {

// Values that only the operator knows; each empty one is listed as a remaining step.
struct MigrationOptions {
  std::optional<int> nodes;  // number of client processes, each with a node
  std::optional<int> index;  // of this node among them, from 0
};

struct Migration {
  bool already_migrated = false;  // the input has the new shape; no other field is set
  std::string text;
  std::vector<std::string> changed;  // a line each: key, before, after
  std::vector<std::string>
      remaining_steps;  // a line each: key that was not migrated, and what to do about it
};

// Throws FieldError with the file and the cause if the input or the result is not a valid configuration. The
// result depends on the arguments only.
Migration migrate(std::string_view text, const std::string& file, const MigrationOptions& options);

}  // namespace shorelead::node
