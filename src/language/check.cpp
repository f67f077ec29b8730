#include "language/check.h"

#include <glob.h>

#include <algorithm>
#include <filesystem>
#include <utility>

#include "files/whole_file.h"
#include "language/consistency.h"
#include "language/sections.h"
#include "language/sources.h"

namespace shorelead::language {

Reader disk() {
  Reader reader;
  reader.read = [](const std::string& path) -> std::optional<std::string> {
    std::error_code error;
    if (std::filesystem::is_directory(path, error)) return std::nullopt;
    files::ReadResult file = files::read_whole(path);
    if (file.status != files::ReadStatus::kRead) return std::nullopt;
    return std::move(file.text);
  };
  reader.glob = [](const std::string& pattern) {
    std::vector<std::string> paths;
    glob_t found{};
    if (::glob(pattern.c_str(), 0, nullptr, &found) == 0)
      paths.assign(found.gl_pathv, found.gl_pathv + found.gl_pathc);
    ::globfree(&found);
    for (std::string& path : paths) path = std::filesystem::path(path).lexically_normal().string();
    return paths;
  };
  return reader;
}

std::optional<double> Section::number(std::string_view field) const {
  const auto it = numbers.find(field);
  return it == numbers.end() ? std::nullopt : std::optional(it->second);
}

std::string Section::word(std::string_view field) const {
  const auto it = words.find(field);
  return it == words.end() || it->second.empty() ? "" : it->second.front();
}

const Section* Section::find(std::string_view name) const {
  const auto it = std::find_if(children.begin(), children.end(),
                               [name](const Section& s) { return s.block->name == name; });
  return it == children.end() ? nullptr : &*it;
}

const Section* Document::find(std::string_view name) const {
  const auto it = std::find_if(sections.begin(), sections.end(),
                               [name](const Section& s) { return s.block->name == name; });
  return it == sections.end() ? nullptr : &*it;
}

Document check(const std::string& path, const Reader& reader) {
  const std::string root_file = std::filesystem::path(path).lexically_normal().string();
  Document document;
  Problems problems;
  Sources sources(reader, problems);
  Sections sections(sources, problems);
  const bool read = sources.read(root_file);
  for (const Statement& s : sources.statements()) {
    if (auto section = sections.read(s)) document.sections.push_back(std::move(*section));
  }
  document.files = sources.files();
  const Index index(document);
  check_consistency(document, index, sections.incomplete_splits(), problems);
  if (read && problems.count() == 0) {
    std::string missing;
    for (const char* const needed : {"node", "class", "pool"}) {
      if (document.find(needed) == nullptr) missing.append(missing.empty() ? "" : ", ").append(needed);
    }
    if (!missing.empty()) {
      problems.problem({root_file, 1, 1, 1}, "these blocks are missing: " + missing,
                       "a configuration has one or more of each, as in: class NAME { ... }");
    }
  }
  document.problems = problems.problems(document.files);
  if (document.problems.empty()) {
    sources.warn_of_unused();
    add_warnings(document, index, problems);
  }
  document.warnings = problems.warnings(document.files);
  return document;
}

}  // namespace shorelead::language
