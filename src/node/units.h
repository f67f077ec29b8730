// Cells and zones by name, and whether any backend in each is ready. Rebuilt with each change of the endpoint
// list; holds no names of backends.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>

#include "affinity/choice.h"
#include "policy/policy.h"

namespace shorelead::node {

// A backend, cell or zone: its number in the decision module, and its standing in this process's list.
struct UnitState {
  Unit unit;
  affinity::UnitStatus status = affinity::UnitStatus::kGone;
};

// The same in all processes.
inline std::string cell_name(const std::string& zone, int cell) { return zone + "/" + std::to_string(cell); }

class Units {
 public:
  void clear();
  // Adds a listed backend to its zone and cell.
  void put(const std::string& zone_name, int zone, int cell, bool ready);
  const UnitState* find(Unit::Kind kind, const std::string& name) const;

 private:
  static void merge(UnitState& state, const Unit& unit, bool ready);

  std::unordered_map<std::string, UnitState> cells_, zones_;
};

}  // namespace shorelead::node
