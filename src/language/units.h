// Numbers with units as people write them, and words for the types of values. Owns the table of units; it
// must never know a block or a field by name.
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "language/schema.h"
#include "language/syntax.h"

namespace shorelead::language {

struct Unit {
  std::string_view name;
  Type type;
  double worth;  // in the schema's unit
};

const Unit* find_unit(std::string_view name);
std::string_view a_kind(Type type);  // "a time"
std::string plain(double value);
std::string written(const Value& v);
std::string shown(Type type, double value);         // in the unit that people would write
std::string example(const Field& f);                // "as in: 410 ms"
std::string meant(const Field& f, const Value& v);  // what a bare number was probably meant to be
bool is_address(std::string_view text);             // with a port

// "did you mean ...?", or all that is known.
std::string did_you_mean(std::string_view said, const std::vector<std::string>& known);
std::vector<std::string> parts(std::string_view text, char by);
std::string list(const std::vector<std::string>& names);  // "a, b"

}  // namespace shorelead::language
