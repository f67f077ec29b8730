// Cells and zones as one process sees them: by name, who is there and whether anybody is ready. Owns the two
// tables, made anew with each list; it must never hold a backend's name, nor be asked while it is made.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "affinity/choice.h"
#include "policy/policy.h"

namespace shorelead::node {

// A unit as this process sees it: what the module knows it by, and how it stands.
struct Seen {
  Unit unit;
  affinity::Standing standing = affinity::Standing::kGone;
};

// Of all processes alike.
inline std::string cell_name(const std::string& zone, int cell) { return zone + "/" + std::to_string(cell); }

class Units {
 public:
  void clear();
  // A backend of the list.
  void put(const std::string& zone_name, int zone, int cell, bool ready);
  const Seen* find(Unit::Kind kind, const std::string& name) const;

 private:
  static void join(Seen& seen, const Unit& unit, bool ready);

  std::unordered_map<std::string, Seen> cells_, zones_;
};

}  // namespace shorelead::node
