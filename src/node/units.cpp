#include "node/units.h"

namespace shorelead::node {

using affinity::UnitStatus;

void Units::clear() {
  cells_.clear();
  zones_.clear();
}

void Units::merge(UnitState& state, const Unit& unit, bool ready) {
  state.unit = unit;
  if (state.status != UnitStatus::kReady) state.status = ready ? UnitStatus::kReady : UnitStatus::kDraining;
}

void Units::put(const std::string& zone_name, int zone, int cell, bool ready) {
  merge(zones_[zone_name], {Unit::Kind::kZone, 0, zone, 0}, ready);
  merge(cells_[cell_name(zone_name, cell)], {Unit::Kind::kCell, 0, zone, cell}, ready);
}

const UnitState* Units::find(Unit::Kind kind, const std::string& name) const {
  const auto& all = kind == Unit::Kind::kCell ? cells_ : zones_;
  const auto it = all.find(name);
  return it == all.end() ? nullptr : &it->second;
}

}  // namespace shorelead::node
