// Units and formatting of numbers, the names of the schema's types in messages, and small text helpers. It
// knows no block or field by name.
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
  double factor;  // one of it, in the schema's unit
};

const Unit* find_unit(std::string_view name);
std::string_view type_phrase(Type type);                     // with an article, as in "a time"
std::string number_text(double value);                       // up to 12 significant digits
std::string source_text(const Value& v);                     // as in the source text
std::string with_unit(Type type, double value);              // with a readable unit
std::string example(const Field& f);                         // "as in: 410 ms"
std::string suggested_unit(const Field& f, const Value& v);  // a guess at the unit of a number without one
bool is_address(std::string_view text);                      // HOST:PORT

// Returns "did you mean ...?" if a known name is similar, else a list of all known names.
std::string did_you_mean(std::string_view given, const std::vector<std::string>& known);
std::vector<std::string> split_text(std::string_view text, char by);
std::string join_names(const std::vector<std::string>& names);  // "a, b"

}  // namespace shorelead::language
