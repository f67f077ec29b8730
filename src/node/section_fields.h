// Accessors for fields of a checked section, shared by the code that binds the blocks of a .shore file.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>

#include "language/check.h"

namespace shorelead::node {

// Throws FieldError with the field's place and the cause.
[[noreturn]] void fail_field(const language::Section& section, const char* field, const std::string& cause);
// Parses one word of the field: a numeric address with a port, as host names are not resolved.
Poco::Net::SocketAddress numeric_address(const language::Section& section, const char* field,
                                         const std::string& word);
// Returns the address in `override_value` or, if that is empty, the field's.
Poco::Net::SocketAddress address_or_override(const language::Section& section, const char* field,
                                             const std::string& override_value);
int integer_or(const language::Section& section, std::string_view field, int fallback);
int index_of(const std::vector<std::string>& names, const std::string& name);  // position in `names`
std::string to_lower(std::string name);                                        // ASCII

}  // namespace shorelead::node
