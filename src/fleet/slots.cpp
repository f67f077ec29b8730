#include "fleet/slots.h"

#include <algorithm>

namespace shorelead::fleet {

bool all_have(const std::vector<Record>& records, std::uint64_t since) {
  return std::all_of(records.begin(), records.end(),
                     [since](const Record& record) { return record.epoch == 0 || record.epoch >= since; });
}

void hold_slots(Plan& next, const Plan* standing, const std::vector<Record>& records, bool may_open) {
  // Without a plan of this history only a member with nothing in force certainly has no slot open.
  const std::uint64_t gone_since = standing != nullptr ? standing->epoch : next.epoch;
  for (auto& [rule, map] : next.affinity) {
    const SlotMap* before = nullptr;
    if (standing != nullptr) {
      const auto it = standing->affinity.find(rule);
      // With another number of slots the same key falls into another slot.
      if (it != standing->affinity.end() && it->second.slots.size() == map.slots.size()) before = &it->second;
    }
    const bool resized = standing != nullptr && before == nullptr && standing->affinity.contains(rule);
    for (std::size_t i = 0; i < map.slots.size(); ++i) {
      Slot& slot = map.slots[i];
      const Slot* was = before != nullptr ? &before->slots[i] : nullptr;
      if (was != nullptr && slot.open && was->open && slot.backend == was->backend) {
        slot.since = was->since;
        continue;
      }
      const bool stood_open = (was != nullptr && was->open) || resized;
      const std::uint64_t closed_since = was != nullptr ? was->since : gone_since;
      if (slot.open && !stood_open && may_open && all_have(records, closed_since)) {
        slot.since = next.epoch;
        continue;
      }
      if (slot.open) slot.to = slot.backend;
      if (was != nullptr) slot.backend = was->backend;
      slot.open = false;
      slot.since = was != nullptr && !was->open ? was->since : next.epoch;
    }
  }
}

}  // namespace shorelead::fleet
