// Which route, pool, class, budgets and plan a request gets, in words for people. It must never say what the
// node would not do.
#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "node/config.h"

namespace shorelead::node {

// `request` is "METHOD host/path", headers "Name: value". Returns whether it would be taken. Throws
// FieldError where the request is none.
bool explain(const Config& config, const std::string& request, const std::vector<std::string>& headers,
             std::ostream& out);

}  // namespace shorelead::node
