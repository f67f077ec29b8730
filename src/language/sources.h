// The files of a configuration put together: includes, variables, shared statements. Owns these; it must
// never read but through the Reader it was given, nor know what a statement means.
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

  // Reads a file and what it includes; whether it could be read at all.
  bool read(const std::string& path);

  const std::vector<std::string>& files() const { return files_; }
  const std::vector<Statement>& statements() const { return statements_; }
  // A block's statements with what it uses put in; what the block itself says goes before what it uses.
  std::vector<const Statement*> statements_of(const Statement& s);
  // A variable's value, or the value itself; null where there is none, which it has said then.
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
  void one_include(const Value& value, const std::string& path);
  void let(const Statement& s);
  void shared(Statement& s);
  Problem& problem(const Place& place, std::string cause, std::string hint = "") {
    return problems_.problem(place, std::move(cause), std::move(hint));
  }

  const Reader& reader_;
  Problems& problems_;
  std::vector<std::string> files_;
  std::vector<Statement> statements_;
  std::vector<std::string> chain_;
  std::map<std::string, Place> included_;
  std::map<std::string, Variable> variables_;
  std::map<std::string, Shared> shared_;
};

}  // namespace shorelead::language
