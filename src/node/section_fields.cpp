#include "node/section_fields.h"

#include <algorithm>
#include <cctype>

#include "node/config.h"

namespace shorelead::node {

using language::Section;

void bad_field(const language::Section& section, const char* field, const std::string& cause) {
  const language::Place& place = section.places.at(field);
  throw FieldError(place.file + ":" + std::to_string(place.line) + ":" + std::to_string(place.column) +
                   ": error: " + cause);
}

Poco::Net::SocketAddress machine_address(const language::Section& section, const char* field,
                                         const std::string& word) {
  if (const auto parsed = parse_address(word)) return *parsed;
  bad_field(section, field, word + " is no address of a machine (no names are looked up)");
}

Poco::Net::SocketAddress told_address(const Section& node, const char* field, const std::string& over) {
  const std::string text = over.empty() ? node.word(field) : over;
  const auto parsed = parse_address(text);
  if (parsed) return *parsed;
  if (!over.empty()) throw FieldError("\"" + over + "\" is not an address with a port");
  bad_field(
      node, field,
      std::string(field) + " is " + text + ", which is no address of a machine (no names are looked up)");
}

int whole_number(const Section& section, std::string_view field, int otherwise) {
  return static_cast<int>(section.number(field).value_or(otherwise));
}

int number_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::string in_small(std::string name) {
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
  return name;
}

}  // namespace shorelead::node
