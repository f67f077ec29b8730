// What settings have to hold before a node goes by them. Pure. Owns the bounds; it must never put a value in
// another's place.
#pragma once

#include <set>
#include <string>

#include "settings/settings.h"

namespace shorelead::node {

// Both throw FieldError with the key. `keys`: the paths that the file has; `ask`: lists have to be asked for.
void check_keys(const std::set<std::string>& keys, bool ask);
void check_values(const Settings& settings, const HostSettings& host);

}  // namespace shorelead::node
