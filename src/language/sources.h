// Combines the files of a configuration: resolves includes, variables and shared statements. Files are read
// only through the Reader; what a statement means is left to Sections.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "language/check.h"
#include "language/problems.h"
#include "language/syntax.h"

namespace shorelead::language {

class Sources {
 public:
  Sources(const Reader& reader, Problems& problems) : reader_(reader), problems_(problems) {}

  // Reads a file and its includes; false if the file itself could not be read.
  bool read(const std::string& path);

  const std::vector<std::string>& files() const { return files_; }
  const std::vector<Statement>& statements() const { return statements_; }
  // Returns a block's statements with its "use" statements expanded; a statement in the block itself
  // overrides a shared one of the same name.
  std::vector<const Statement*> statements_of(const Statement& s);
  // Returns the value of a variable, or `given` itself if it is none; null after reporting an unknown
  // variable.
  const Value* resolve(const Value& given);
  void warn_of_unused();

 private:
  struct Variable {
    Value value;
    Place place;
    bool used = false;
  };
  struct Shared {
    std::vector<Statement> statements;
    Place place;
    bool used = false;
  };

  void file(const std::string& path, const std::string& text);
  void include(const Statement& s, const std::string& from);
  void include_file(const Value& value, const std::string& path);
  void let(const Statement& s);
  void shared(Statement& s);
  Problem& problem(const Place& place, std::string cause, std::string hint = "") {
    return problems_.problem(place, std::move(cause), std::move(hint));
  }

  const Reader& reader_;
  Problems& problems_;
  std::vector<std::string> files_;
  std::vector<Statement> statements_;
  std::vector<std::string> include_chain_;
  std::map<std::string, Place> included_;
  std::map<std::string, Variable> variables_;
  std::map<std::string, Shared> shared_;
};

}  // namespace shorelead::language
