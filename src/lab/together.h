// What all processes together made of what they share: how much of a budget was used where more was wished
// for, how each rank fared, how keys moved. Pure: from the run's record alone. It must never judge: what
// breaks a rule is the auditor's.
#pragma once

#include <string>
#include <vector>

#include "lab/records.h"

namespace shorelead::lab {

// Over seconds, from the first whole one of the load, in which the budget binds: for a rate, more than 1.2
// times the whole was offered; at once, somebody in its scope was refused with nothing at a box.
struct BudgetUse {
  std::string name;
  int seconds = 0;
  double mean = 0;   // of the whole, taken (rate) or in work on average (at once)
  double least = 0;  // second
};

struct RankFare {
  int rank = 0;
  std::size_t offered = 0;
  std::size_t taken = 0;   // something reached a box
  std::size_t in_aim = 0;  // answered within the class's aim
};

struct KeyMoves {
  std::string name;
  std::size_t keys = 0;
  std::size_t sends = 0;
  std::size_t moves = 0;   // sends to another unit than the key's before
  std::size_t warm = 0;    // sends to a box that had met the key lately ...
  std::size_t met = 0;     // ... of those of keys that some box had met
  Millis longest_gap = 0;  // once it had a box: from the first of refusals in a row to its next send
  double fullest = 0;      // sends to the unit that had most, over the mean of units that had any
};

struct Together {
  std::vector<BudgetUse> budgets;
  std::vector<RankFare> ranks;
  std::vector<KeyMoves> keys;
};

Together together(const Run& run);

}  // namespace shorelead::lab
