// A configuration read whole: includes followed, variables put in, every statement held against the schema.
// Owns the search for mistakes, all of them in one pass; it must never read but through the Reader it was
// given, nor give out a document that has a mistake.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "language/schema.h"
#include "language/syntax.h"

namespace shorelead::language {

// How files are found and read; the disk, or a test's.
struct Reader {
  std::function<std::optional<std::string>(const std::string& path)> read;
  std::function<std::vector<std::string>(const std::string& pattern)>
      glob;  // in order; a path without * is itself
};
Reader disk();

// One checked block: each field in the schema's unit (ms, a second, 0 to 1, bytes).
struct Section {
  const Block* block = nullptr;
  std::string name;
  Place place;
  std::map<std::string, double, std::less<>> numbers;
  std::map<std::string, std::vector<std::string>, std::less<>> words;
  std::map<std::string, Place, std::less<>> places;  // of the fields that were told
  std::vector<Section> inner;

  std::optional<double> number(std::string_view field) const;
  std::string word(std::string_view field) const;  // empty = not told
  const Section* find(std::string_view block) const;
};

struct Document {
  std::vector<Section> sections;
  std::vector<Problem> problems;  // in the order of the text; with any, the sections are not to be used
  std::vector<Problem> warnings;  // looked for only where there is no mistake
  std::vector<std::string> files;

  const Section* find(std::string_view block) const;
};

// A number of the schema's unit in the unit that people would write.
std::string shown(Type type, double value);

Document check(const std::string& path, const Reader& reader);

}  // namespace shorelead::language
