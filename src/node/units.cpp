#include "node/units.h"

namespace shorelead::node {

using affinity::Standing;

void Units::clear() {
  cells_.clear();
  zones_.clear();
}

void Units::join(Seen& seen, const Unit& unit, bool ready) {
  seen.unit = unit;
  if (seen.standing != Standing::kReady) seen.standing = ready ? Standing::kReady : Standing::kDraining;
}

void Units::put(const std::string& zone_name, int zone, int cell, bool ready) {
  join(zones_[zone_name], {Unit::Kind::kZone, 0, zone, 0}, ready);
  join(cells_[cell_name(zone_name, cell)], {Unit::Kind::kCell, 0, zone, cell}, ready);
}

const Seen* Units::find(Unit::Kind kind, const std::string& name) const {
  const auto& all = kind == Unit::Kind::kCell ? cells_ : zones_;
  const auto it = all.find(name);
  return it == all.end() ? nullptr : &it->second;
}

}  // namespace shorelead::node
