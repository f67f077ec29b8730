// Maps the `pool` and `route` blocks of a checked .shore document to the node's configuration.
#pragma once

#include <string>
#include <vector>

#include "language/check.h"
#include "node/config.h"

namespace shorelead::node {

// `names`: the names of all pools; `config`: must already have the node's own fields and the classes.
PoolConfig pool_of(const language::Section& node, const language::Section& section,
                   const std::vector<std::string>& names, const Config& config);
// Sets the routes of `config`. Throws FieldError if a route can never be reached.
void bind_routes(const language::Document& document, const std::vector<std::string>& pools, Config& config);

}  // namespace shorelead::node
