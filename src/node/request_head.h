// What of a client's request goes to a backend: its start line, the fields that go on, and lines of our own.
// Owns the words of these; it must never copy what the client sent.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "node/net.h"

namespace shorelead::node {

// Appends to `pieces` what is to be written before the body. `own` holds what is not the client's, and has to
// live as long as they; `left`: the backend has so long for it.
void request_head(const Message& message, Millis left, std::string& own,
                  std::vector<std::string_view>& pieces);

}  // namespace shorelead::node
