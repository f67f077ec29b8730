// Reads and checks a whole configuration: follows includes, substitutes variables, checks every statement
// against the schema and the blocks against each other. All errors are found in one pass. Files are read only
// through the Reader.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "language/schema.h"
#include "language/syntax.h"

namespace shorelead::language {

// How files are found and read: from disk, or from memory in tests.
struct Reader {
  std::function<std::optional<std::string>(const std::string& path)> read;
  std::function<std::vector<std::string>(const std::string& pattern)>
      glob;  // in order; a path without wildcards yields itself if it exists
};
Reader disk();

// One checked block, with each number in the schema's unit (ms, per second, 0 to 1, bytes).
struct Section {
  const Block* block = nullptr;
  std::string name;
  Place place;
  std::map<std::string, double, std::less<>> numbers;
  std::map<std::string, std::vector<std::string>, std::less<>> words;
  std::map<std::string, Place, std::less<>> places;  // of the fields that are set
  std::vector<Section> children;

  std::optional<double> number(std::string_view field) const;
  std::string word(std::string_view field) const;  // empty = not set
  const Section* find(std::string_view block) const;
};

struct Document {
  std::vector<Section> sections;
  std::vector<Problem> problems;  // in text order; if there are any, the sections must not be used
  std::vector<Problem> warnings;  // computed only if there are no problems
  std::vector<std::string> files;

  const Section* find(std::string_view block) const;
};

// Formats a number given in the schema's unit with a readable unit.
std::string with_unit(Type type, double value);

Document check(const std::string& path, const Reader& reader);

}  // namespace shorelead::language
