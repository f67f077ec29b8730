// Access to the fields of parsed JSON. A field of the wrong type is an error, never replaced by a default.
#pragma once

#include <rapidjson/document.h>

#include <stdexcept>
#include <string>
#include <string_view>

namespace shorelead {

// Says which field is wrong, and how. The caller adds the file or line.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using Json = rapidjson::GenericValue<rapidjson::UTF8<>>;

namespace fields {

[[noreturn]] void bad(const char* name, const char* what);

// Returns the value of a field, or nullptr if it is absent or null.
const Json* find(const Json& object, const char* name);
const Json& need(const Json& object, const char* name);

double as_number(const Json& value, const char* name);
int as_index(const Json& value, const char* name);
bool as_bool(const Json& value, const char* name);
std::string_view as_text(const Json& value, const char* name);

double number(const Json& object, const char* name);
std::string_view text(const Json& object, const char* name);
const Json& object(const Json& object, const char* name);
const Json& array(const Json& object, const char* name);

double number_or(const Json& object, const char* name, double fallback);
int index_or(const Json& object, const char* name, int fallback);
bool bool_or(const Json& object, const char* name, bool fallback);

}  // namespace fields
}  // namespace shorelead
