// Collects the errors and warnings found in a configuration, each with the text of its line, and sorts them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "language/syntax.h"

namespace shorelead::language {

class Problems {
 public:
  void lines_of(const std::string& file, std::vector<std::string> lines) { lines_[file] = std::move(lines); }
  void take(const std::vector<Problem>& parsed);
  Problem& problem(const Place& place, std::string cause, std::string hint = "");
  Problem& warning(const Place& place, std::string cause, std::string hint = "");
  std::size_t count() const { return problems_.size(); }

  // In text order, with files in the order in which they were read, and without duplicates.
  std::vector<Problem> problems(const std::vector<std::string>& files) const {
    return in_order(problems_, files);
  }
  std::vector<Problem> warnings(const std::vector<std::string>& files) const {
    return in_order(warnings_, files);
  }

 private:
  static std::vector<Problem> in_order(std::vector<Problem> all, const std::vector<std::string>& files);

  std::vector<Problem> problems_;
  std::vector<Problem> warnings_;
  std::map<std::string, std::vector<std::string>> lines_;
};

}  // namespace shorelead::language
