// The configuration of the model's fleets: three small budgets, one of each kind, and an affinity rule whose
// slots move between backends.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/planner.h"
#include "fleet/spec.h"

namespace shorelead::fleet::model {

// `longest`: the longest duration of a request, and of concurrent use.
Sharing small_sharing(Millis longest = 900);
std::vector<Budget> small_budgets(Millis longest = 900);

// Asks for each slot on its requested backend immediately; slots.h closes those that may not be open yet.
class SlotMover : public PlanShaper {
 public:
  void wish(std::size_t slot, const std::string& backend) { wished_[slot] = backend; }
  void shape(Plan& next, const Plan*, const std::vector<Record>&, Millis) override {
    SlotMap map;
    for (const auto& [slot, backend] : wished_) map.slots.push_back({backend, true, "", 0});
    next.affinity["rule"] = map;
  }

 private:
  std::map<std::size_t, std::string> wished_ = {{0, "a"}, {1, "b"}};
};

}  // namespace shorelead::fleet::model
