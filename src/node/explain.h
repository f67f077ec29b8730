// Explains in text which route, pool, class, budgets, plan and affinity rule apply to a request, using the
// same lookups as the request path.
#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "node/config.h"

namespace shorelead::node {

// `request` is "METHOD host/path"; `headers` are "Name: value". Returns whether the request matches a class
// (it is answered with 404 otherwise). Throws FieldError if `request` is malformed.
bool explain(const Config& config, const std::string& request, const std::vector<std::string>& headers,
             std::ostream& out);

}  // namespace shorelead::node
