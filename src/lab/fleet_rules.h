// What an installation asks of all its processes together, as an experiment states it: budgets, the order of
// shedding, one box a key. Owns shapes only; the auditor judges by them, from records alone.
#pragma once

#include <string>
#include <vector>

#include "base/millis.h"

namespace shorelead::lab {

// Which requests a rule is about; what is empty (pool: -1) leaves nothing out.
struct Scope {
  std::vector<int> classes;  // Run::classes
  std::vector<std::string> tenants;
  int pool = -1;  // of the boxes that they go to

  bool empty() const { return classes.empty() && tenants.empty() && pool < 0; }
  bool operator==(const Scope&) const = default;
};

enum class Spending { kRate, kAtOnce, kAttempts };

// F1. A rate: over any window W at most whole x W + burst requests taken. At once: at most `whole` in work.
// Attempts: within any window of length `window` at most whole + ratio x requests taken in it.
struct BudgetRule {
  std::string name;
  Spending kind = Spending::kRate;
  double whole = 0;  // a second, at once, in a window
  double burst = 1;
  double ratio = 0;
  Millis window = 0;
  Scope scope;

  bool operator==(const BudgetRule&) const = default;
};

// F2. The first whose scope has a request gives its rank; a larger number is shed first. Ranks are compared
// within one pool (or where none is named). `floor`: this share of what is offered may be taken whatever
// happens.
struct RankRule {
  int rank = 0;
  double floor = 0;
  Scope scope;

  bool operator==(const RankRule&) const = default;
};

enum class Unit { kBox, kCell, kZone };

// F3. Requests in scope that carry the same key go to one box (cell, zone), whichever process they come by.
struct KeyRule {
  std::string name;
  bool must = true;     // or "prefer", which is not judged
  bool tenant = false;  // the key is the tenant, not the basket
  Unit to = Unit::kBox;
  // Least time from the last send to a unit to the next there, with another's between.
  Millis back_after = 400;
  Scope scope;

  bool operator==(const KeyRule&) const = default;
};

struct FleetRules {
  std::vector<BudgetRule> budgets;
  std::vector<RankRule> ranks;
  std::vector<KeyRule> keys;
  Millis shed_window = 2000;
  double shed_share =
      0.02;  // of a lower rank's offered load that may be taken beside a higher one's refusals

  Millis shed_within =
      20000;  // a shortage that has lasted so long is shed by plan, not by boxes without room

  bool empty() const { return budgets.empty() && ranks.empty() && keys.empty(); }
};

}  // namespace shorelead::lab
