// The head of a request as it is sent to a backend: the client's start line, the fields that are forwarded,
// and those that this node adds. Refers to the client's bytes without copying them.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "node/net.h"

namespace shorelead::node {

// Appends the head to `pieces`. `own` is set to the added fields and has to live as long as `pieces`. `left`
// is the time that the backend has for its response.
void request_head(const Message& message, Millis left, std::string& own,
                  std::vector<std::string_view>& pieces);

}  // namespace shorelead::node
