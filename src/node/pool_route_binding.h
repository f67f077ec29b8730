// What the blocks pool and route of a checked .shore document mean to the node. It must never guess what was
// meant.
#pragma once

#include <string>
#include <vector>

#include "language/check.h"
#include "node/config.h"

namespace shorelead::node {

// `names` are those of all pools; `config` has what is said of the node so far.
PoolConfig pool_of(const language::Section& node, const language::Section& section,
                   const std::vector<std::string>& names, const Config& config);
// Throws FieldError where routes cannot be told apart.
void take_routes(const language::Document& document, const std::vector<std::string>& pools, Config& config);

}  // namespace shorelead::node
