// The file of our own (TOML): what the platform's configuration has no word for. Owns its reading and its
// checks: an unknown key, a wrong kind and an impossible value are errors that name file, line and cause. It
// must never let a mistake pass for a default.
#pragma once

#include <string>
#include <string_view>

#include "node/config.h"

namespace shorelead::node {

// Puts what the text says into the configuration, which was read before: the number of nodes and this node's
// place among them are the platform's unless the file tells. Throws FieldError; `file` is for its words only.
void apply_platform_file(std::string_view text, const std::string& file, Config& config);
// The same from a file; nothing is done where `path` is empty.
void load_platform_file(const std::string& path, Config& config);

}  // namespace shorelead::node
