// The mistakes and doubts found in a configuration, with the lines that they are in. Owns their order; it
// must never decide what is a mistake.
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

  // In the order of the text, files in the order in which they were read; each once.
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
