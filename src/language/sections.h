// Checks statements against the schema: makes a section of each block, with each field in the schema's unit.
// Reports misspelt, missing, repeated and wrongly typed fields. Consistency between fields and between blocks
// is checked elsewhere (consistency.h).
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "language/check.h"
#include "language/problems.h"
#include "language/sources.h"

namespace shorelead::language {

std::string title_of(const Section& s);  // "pool main"

class Sections {
 public:
  Sections(Sources& sources, Problems& problems) : sources_(sources), problems_(problems) {}

  std::optional<Section> read(const Statement& s) { return block(s, nullptr, nullptr); }
  // Routes with an error in a split, whose sum is therefore not checked.
  const std::set<std::string>& incomplete_splits() const { return incomplete_splits_; }

 private:
  std::optional<Section> block(const Statement& s, const Block* parent, Section* outer);
  void check_unique(const Statement& s, const Section& section, const Section* outer);
  void field(const Statement& s, Section& section);
  void shares(const Field& f, const Statement& s, Section& section);
  void add_share(const Field& f, const Statement& s, Section& section);
  void set_value(const Field& f, const Value& v, const Place& place, Section& section);
  void wrong_type(const Field& f, const Value& v, const Place& place, std::string hint);
  void number(const Field& f, const Value& v, const Place& place, Section& section);
  Problem& problem(const Place& place, std::string cause, std::string hint = "") {
    return problems_.problem(place, std::move(cause), std::move(hint));
  }

  Sources& sources_;
  Problems& problems_;
  std::map<std::string, Place> first_places_;
  std::set<std::string> incomplete_splits_;
};

}  // namespace shorelead::language
