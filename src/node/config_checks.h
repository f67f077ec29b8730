// Validation of the settings in a JSON configuration: required keys and value ranges. Pure functions that
// reject a configuration and never correct one.
#pragma once

#include <set>
#include <string>

#include "settings/settings.h"

namespace shorelead::node {

// Both throw FieldError with the key. `keys`: dotted paths present in the file; `list_on_request`: backend
// lists are requested from discovery, which needs a request period.
void check_keys(const std::set<std::string>& keys, bool list_on_request);
void check_values(const Settings& settings, const HostSettings& host);

}  // namespace shorelead::node
