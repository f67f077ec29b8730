#include "settings/fields.h"

namespace shorelead::fields {

void bad(const char* name, const char* what) {
  throw FieldError("field \"" + std::string(name) + "\" " + what);
}

const Json* find(const Json& object, const char* name) {
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

const Json& need(const Json& object, const char* name) {
  const Json* value = find(object, name);
  if (value == nullptr) bad(name, "is missing");
  return *value;
}

double as_number(const Json& value, const char* name) {
  if (!value.IsNumber()) bad(name, "is not a number");
  return value.GetDouble();
}

int as_index(const Json& value, const char* name) {
  if (!value.IsInt() || value.GetInt() < 0) bad(name, "is not a whole number from 0 up");
  return value.GetInt();
}

bool as_bool(const Json& value, const char* name) {
  if (!value.IsBool()) bad(name, "is not true or false");
  return value.GetBool();
}

std::string_view as_text(const Json& value, const char* name) {
  if (!value.IsString()) bad(name, "is not a string");
  return {value.GetString(), value.GetStringLength()};
}

double number(const Json& object, const char* name) { return as_number(need(object, name), name); }

std::string_view text(const Json& object, const char* name) { return as_text(need(object, name), name); }

const Json& object(const Json& object, const char* name) {
  const Json& value = need(object, name);
  if (!value.IsObject()) bad(name, "is not an object");
  return value;
}

const Json& array(const Json& object, const char* name) {
  const Json& value = need(object, name);
  if (!value.IsArray()) bad(name, "is not an array");
  return value;
}

double number_or(const Json& object, const char* name, double fallback) {
  const Json* value = find(object, name);
  return value == nullptr ? fallback : as_number(*value, name);
}

int index_or(const Json& object, const char* name, int fallback) {
  const Json* value = find(object, name);
  return value == nullptr ? fallback : as_index(*value, name);
}

bool bool_or(const Json& object, const char* name, bool fallback) {
  const Json* value = find(object, name);
  return value == nullptr ? fallback : as_bool(*value, name);
}

}  // namespace shorelead::fields
