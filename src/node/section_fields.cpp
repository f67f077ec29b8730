#include "node/section_fields.h"

#include <algorithm>
#include <cctype>

#include "node/config.h"

namespace shorelead::node {

using language::Section;

void fail_field(const language::Section& section, const char* field, const std::string& cause) {
  const language::Place& place = section.places.at(field);
  throw FieldError(place.file + ":" + std::to_string(place.line) + ":" + std::to_string(place.column) +
                   ": error: " + cause);
}

Poco::Net::SocketAddress numeric_address(const language::Section& section, const char* field,
                                         const std::string& word) {
  if (const auto parsed = parse_address(word)) return *parsed;
  fail_field(section, field, word + " is not a numeric address with a port (host names are not resolved)");
}

Poco::Net::SocketAddress address_or_override(const Section& node, const char* field,
                                             const std::string& override_value) {
  const std::string text = override_value.empty() ? node.word(field) : override_value;
  const auto parsed = parse_address(text);
  if (parsed) return *parsed;
  if (!override_value.empty()) throw FieldError("\"" + override_value + "\" is not an address with a port");
  fail_field(node, field,
             std::string(field) + " is " + text +
                 ", which is not a numeric address with a port (host names are not resolved)");
}

int integer_or(const Section& section, std::string_view field, int fallback) {
  return static_cast<int>(section.number(field).value_or(fallback));
}

int index_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::string to_lower(std::string name) {
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
  return name;
}

}  // namespace shorelead::node
