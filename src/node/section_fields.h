// Small readings of a checked section that all parts of a .shore file share.
#pragma once

#include <Poco/Net/SocketAddress.h>

#include <string>

#include "language/check.h"

namespace shorelead::node {

// Throws FieldError with the field's place and the cause.
[[noreturn]] void bad_field(const language::Section& section, const char* field, const std::string& cause);
// The address of a machine, one word of that field.
Poco::Net::SocketAddress machine_address(const language::Section& section, const char* field,
                                         const std::string& word);
// The field's address, unless one given outside the file wins over it.
Poco::Net::SocketAddress told_address(const language::Section& section, const char* field,
                                      const std::string& over);
int whole_number(const language::Section& section, std::string_view field, int otherwise);
int number_of(const std::vector<std::string>& names, const std::string& name);  // its place among them
std::string in_small(std::string name);                                         // letters

}  // namespace shorelead::node
