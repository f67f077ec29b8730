// What has to fit together in a configuration, and what works but hardly as it was meant. Owns these checks;
// it must never change a document.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "language/check.h"
#include "language/problems.h"

namespace shorelead::language {

// The blocks at the top by kind and name.
class Index {
 public:
  explicit Index(const Document& document);

  // The names of all blocks of a kind; of routes there may be many, of the others there are few.
  const std::vector<std::string>& named(std::string_view block) const;
  const Section* second(std::string_view block) const;
  const Section* section(std::string_view block, std::string_view name) const;
  // Whether there is a block of that name; says so where not.
  bool known(std::string_view block, const std::string& name, const Place& place, Problems& problems) const;

 private:
  const Document& document_;
  std::map<std::pair<std::string_view, std::string>, const Section*> index_;
  std::map<std::string_view, std::vector<std::string>> names_;
};

// Mistakes: node, classes, routes, fallbacks; of pools and where their backends come from.
void fit_together(const Document& document, const Index& index, const std::set<std::string>& half_told,
                  Problems& problems);
void fit_pool(const Document& document, const Section& pool, Problems& problems);
// Members of a registry or store: addresses, each once.
void fit_endpoints(const Section& s, const std::string& field, Problems& problems);
// The fleet, its budgets and plans.
void fit_fleet(const Document& document, const Index& index, Problems& problems);
void fit_affinity(const Section& rule, Problems& problems);
void doubt_fleet(const Document& document, Problems& problems);
// Warnings, looked for only where there is no mistake.
void doubt(const Document& document, const Index& index, Problems& problems);

}  // namespace shorelead::language
