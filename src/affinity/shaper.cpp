#include "affinity/shaper.h"

#include <algorithm>
#include <cstring>
#include <optional>

namespace shorelead::affinity {
namespace {

const std::string& unit_name(const BackendStatus& backend, Scope to) {
  return to == Scope::kBackend ? backend.name : to == Scope::kCell ? backend.cell : backend.zone;
}

// Returns the unit that has a slot, or the one that a closed slot moves to.
const std::string& owner_of(const fleet::Slot& slot) { return slot.open ? slot.backend : slot.to; }

std::uint64_t hash_of_units(const std::vector<Unit>& units) {
  std::string text;
  for (const Unit& unit : units) {
    char bytes[sizeof unit.weight];
    std::memcpy(bytes, &unit.weight, sizeof bytes);
    text.append(unit.name).append(1, '\0').append(bytes, sizeof bytes);
  }
  return hash_of(text);
}

}  // namespace

// The units of one kind in the list of backends.
struct Shaper::Units {
  std::vector<Unit> ready;           // sorted by name
  std::map<std::string, int> place;  // index into `ready` by name
  std::set<std::string> listed;      // including those that drain
};

Shaper::Units Shaper::units_of(const Rule& rule) const {
  Units units;
  std::map<std::string, double> weights;
  for (const BackendStatus& backend : backends_) {
    const bool in_pool = rule.pool.empty() || backend.pool.empty() || rule.pool == backend.pool;
    const std::string& name = unit_name(backend, rule.to);
    if (name.empty() || !in_pool) continue;  // a backend without a cell or zone belongs to none
    units.listed.insert(name);
    if (!backend.draining && backend.weight > 0) weights[name] += backend.weight * warm_step(backend.warm);
  }
  for (const auto& [name, weight] : weights) {
    units.place[name] = static_cast<int>(units.ready.size());
    units.ready.push_back({name, weight});
  }
  return units;
}

// Whether the slots of a unit that is not listed stay with it for now.
bool Shaper::keeps_slots(const Rule& rule, const std::string& unit, const Units& units, Millis now) {
  if (unit.empty() || units.listed.count(unit) > 0) return false;  // no owner, or the unit drains
  const std::pair key(rule.to, unit);
  checked_.insert(key);
  const Millis since = missing_since_.try_emplace(key, now).first->second;
  Millis wait = rule.on_loss == OnLoss::kRefuse ? rule.hold : 0;
  if (seen_.count(key) == 0) wait = std::max(wait, options_.unknown_for);
  return now - since < wait;
}

fleet::SlotMap Shaper::next_map(const Rule& rule, const fleet::SlotMap* standing, std::uint64_t epoch,
                                const std::vector<fleet::Record>& records, std::uint64_t standing_epoch,
                                Millis now) {
  fleet::SlotMap map;
  if (standing == nullptr || standing->slots.empty()) {
    map.slots.assign(rule.slots, {"", false, "", epoch});
  } else {
    map = standing->slots.size() == rule.slots ? *standing : resized(*standing, rule.slots, epoch);
  }
  const Units units = units_of(rule);
  std::vector<int> owners;
  std::map<std::string, int> place = units.place;  // and kHeld or kNoOwner for units that are not ready
  std::size_t closed = 0;
  for (const fleet::Slot& slot : map.slots) {
    const auto [it, fresh] = place.try_emplace(owner_of(slot), kNoOwner);
    if (fresh && keeps_slots(rule, it->first, units, now)) it->second = kHeld;
    owners.push_back(it->second);
    counters_.held += it->second == kHeld;
    closed += !slot.open;
  }
  SlotMoves moves;
  moves.bound = rule.bound;
  moves.max_moves = options_.max_moves - std::min(options_.max_moves, closed);
  // A slot that has to stay closed for a deduplication window is not moved for balance.
  moves.balance = rule.dedup_window <= 0 && moves.max_moves > 0;
  const std::vector<int> next = assign(owners, units.ready, moves);

  const std::string name = map_name(rule);
  for (std::size_t n = 0; n < map.slots.size(); ++n) {
    fleet::Slot& slot = map.slots[n];
    if (next[n] < 0) continue;
    const std::string& to = units.ready[static_cast<std::size_t>(next[n])].name;
    const std::pair key(name, n);
    if (slot.open) {
      quiet_since_.erase(key);
      if (to == slot.backend) continue;
      slot = {slot.backend, false, to, epoch};
      ++counters_.closed;
    }
    if (to == slot.backend) {
      slot = {to, true, "", epoch};
      quiet_since_.erase(key);
      ++counters_.returned;
      continue;
    }
    slot.to = to;
    // Not in the plan that closes it: a process at epoch 0 may be putting the standing plan in force just
    // now.
    const bool all = slot.since <= standing_epoch &&
                     std::all_of(records.begin(), records.end(), [&](const fleet::Record& record) {
                       return acknowledged(record, slot.since, standing_epoch);
                     });
    if (all && rule.dedup_window > 0 && !slot.backend.empty()) {
      const Millis since = quiet_since_.try_emplace(key, now).first->second;
      if (now - since < rule.dedup_window) {
        ++counters_.waiting;
        continue;
      }
    }
    if (!all) {
      ++counters_.waiting;
      continue;
    }
    slot = {to, true, "", epoch};
    quiet_since_.erase(key);
    ++counters_.opened;
  }
  if (standing == nullptr || map.slots != standing->slots) map.backends = hash_of_units(units.ready);
  return map;
}

void Shaper::shape(fleet::Plan& next, const fleet::Plan* standing, const std::vector<fleet::Record>& records,
                   Millis now) {
  const std::uint64_t standing_epoch = standing == nullptr ? 0 : standing->epoch;
  std::map<std::string, fleet::SlotMap> maps;
  checked_.clear();
  for (const Rule& rule : rules_) {
    const std::string name = map_name(rule);
    const fleet::SlotMap* old = nullptr;
    if (standing != nullptr) {
      const auto it = standing->affinity.find(name);
      if (it != standing->affinity.end()) old = &it->second;
    }
    maps[name] = next_map(rule, old, next.epoch, records, standing_epoch, now);
    for (const BackendStatus& backend : backends_) seen_.emplace(rule.to, unit_name(backend, rule.to));
  }
  // Keeps maps of another version of the configuration file, which other processes may still use.
  if (standing != nullptr) {
    for (const auto& [name, map] : standing->affinity) {
      if (maps.count(name) > 0) continue;
      if (now - unused_since_.try_emplace(name, now).first->second < options_.unknown_for) maps[name] = map;
    }
  }
  prune(maps);
  next.affinity = std::move(maps);
}

// Drops state of backends and maps that are gone, so that it does not grow without bound.
void Shaper::prune(const std::map<std::string, fleet::SlotMap>& maps) {
  std::set<std::pair<Scope, std::string>> listed;
  for (const BackendStatus& backend : backends_) {
    for (const Scope to : {Scope::kBackend, Scope::kCell, Scope::kZone})
      listed.emplace(to, unit_name(backend, to));
  }
  std::erase_if(missing_since_, [this](const auto& one) { return checked_.count(one.first) == 0; });
  std::erase_if(seen_, [&](const auto& one) { return listed.count(one) == 0 && checked_.count(one) == 0; });
  std::erase_if(quiet_since_, [&maps](const auto& one) { return maps.count(one.first.first) == 0; });
  std::erase_if(unused_since_, [&](const auto& one) {
    return maps.count(one.first) == 0 || std::any_of(rules_.begin(), rules_.end(), [&one](const Rule& rule) {
             return map_name(rule) == one.first;
           });
  });
}

double warm_step(double warm) { return warm >= 1 ? 1 : warm >= 0.5 ? 0.5 : warm >= 0.25 ? 0.25 : 0.125; }

bool acknowledged(const fleet::Record& record, std::uint64_t since, std::uint64_t standing_epoch) {
  return record.epoch == 0 || (since <= record.epoch && record.epoch <= standing_epoch);
}

fleet::SlotMap resized(const fleet::SlotMap& map, std::size_t slots, std::uint64_t epoch) {
  fleet::SlotMap out;
  out.backends = map.backends;
  const std::size_t before = map.slots.size();
  for (std::size_t n = 0; n < slots; ++n) {
    if (slots >= before) {
      out.slots.push_back(map.slots[n / (slots / before)]);
      continue;
    }
    const std::size_t each = before / slots;
    fleet::Slot slot = map.slots[n * each];
    for (std::size_t part = 1; part < each; ++part) {
      const fleet::Slot& other = map.slots[n * each + part];
      if (other.open && slot.open && other.backend == slot.backend) continue;
      slot = {"", false, owner_of(slot), epoch};
      break;
    }
    out.slots.push_back(slot);
  }
  return out;
}

}  // namespace shorelead::affinity
