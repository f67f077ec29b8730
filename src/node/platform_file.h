// The platform file (TOML): options that the JSON configuration has no key for (subsets, probe limits). An
// unknown key, a wrong type and a value out of range are errors that name file, line and cause.
#pragma once

#include <string>
#include <string_view>

#include "node/config.h"

namespace shorelead::node {

// Applies the text to a configuration that has been read already. The number of nodes and this node's index
// come from the JSON configuration unless this file sets them. Throws FieldError; `file` is used in its
// message only.
void apply_platform_file(std::string_view text, const std::string& file, Config& config);
// The same from a file; does nothing if `path` is empty.
void load_platform_file(const std::string& path, Config& config);

}  // namespace shorelead::node
