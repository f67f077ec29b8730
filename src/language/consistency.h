// Checks the consistency of a document whose statements each follow the schema: references between blocks,
// and fields that depend on each other. Also finds valid settings that probably were not intended (warnings).
// The document is not changed.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "language/check.h"
#include "language/problems.h"

namespace shorelead::language {

// The top-level blocks by kind and name.
class Index {
 public:
  explicit Index(const Document& document);

  // Returns the names of all blocks of a kind.
  const std::vector<std::string>& names_of(std::string_view block) const;
  // Returns the second block of a kind, the only one if there is one, or null.
  const Section* second_of(std::string_view block) const;
  const Section* section(std::string_view block, std::string_view name) const;
  // Whether a block of that name exists; reports a problem if not.
  bool require(std::string_view block, const std::string& name, const Place& place, Problems& problems) const;

 private:
  const Document& document_;
  std::map<std::pair<std::string_view, std::string>, const Section*> index_;
  std::map<std::string_view, std::vector<std::string>> names_;
};

// Reports errors in the node, classes, routes, pools, fallbacks and the fleet.
void check_consistency(const Document& document, const Index& index,
                       const std::set<std::string>& incomplete_splits, Problems& problems);
// A pool, its backends and their source.
void check_pool(const Document& document, const Section& pool, Problems& problems);
// The members of a registry or store: addresses without duplicates.
void check_endpoints(const Section& s, const std::string& field, Problems& problems);
// The fleet, its budgets, plans and affinity rules.
void check_fleet(const Document& document, const Index& index, Problems& problems);
void check_affinity(const Section& rule, Problems& problems);
void add_fleet_warnings(const Document& document, Problems& problems);
// Reports warnings; only for a document without errors.
void add_warnings(const Document& document, const Index& index, Problems& problems);

}  // namespace shorelead::language
