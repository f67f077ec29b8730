// Maps the blocks pool and route of a checked .shore document to the node's configuration.
#pragma once

#include <string>
#include <vector>

#include "language/check.h"
#include "node/config.h"

namespace shorelead::node {

// `names`: the names of all pools; `config`: has the node's own fields and the classes already.
PoolConfig pool_of(const language::Section& node, const language::Section& section,
                   const std::vector<std::string>& names, const Config& config);
// Throws FieldError if a route can never be reached.
void bind_routes(const language::Document& document, const std::vector<std::string>& pools, Config& config);

}  // namespace shorelead::node
