// The fleet section of the configuration: the budgets that processes share and the parameters of the sharing.
// Plain data. All processes of a fleet should have the same values. While two versions of the configuration
// run side by side, the plan carries the totals it was computed from, and a process never spends more than
// the smaller of that total and its own.
#pragma once

#include <string>
#include <vector>

#include "base/millis.h"

namespace shorelead::fleet {

enum class BudgetKind {
  kRate,      // `whole` per second, with a burst
  kAtOnce,    // `whole` concurrently
  kAttempts,  // retries: `whole` of them in any window, and `ratio` of the requests accepted in it
};

// Selects the requests that draw on a budget. An empty field matches all.
struct BudgetScope {
  std::string pool;
  std::string route;
  std::string request_class;
  std::string tenant;

  bool operator==(const BudgetScope&) const = default;
};

struct Budget {
  std::string name;
  BudgetKind kind = BudgetKind::kRate;
  double whole = 0;
  double burst = 1;   // kRate: at most whole x W + burst in any window W
  double ratio = 0;   // kAttempts
  Millis window = 0;  // kAttempts
  Millis hold = 0;    // kAtOnce: the longest time one unit can be in use, even if its process dies
  double reserve =
      0.05;  // fraction of `whole` usable without a plan, in `Sharing::most_processes` equal parts
  double least_part = 0.05;  // fraction of the rest divided equally, whatever the demand
  double most_part = 0.9;    // largest fraction of `whole` for one process, whatever its reported demand
  BudgetScope scope;

  bool operator==(const Budget&) const = default;
};

struct Sharing {
  std::string prefix;       // of the fleet's keys in the store
  int most_processes = 0;   // largest number that may run at the same time
  Millis lease = 5000;      // a process that has not renewed for this long has no share
  Millis plan_every = 500;  // interval at which the planner considers a new plan
  double drift = 0.01;      // clocks differ by at most this fraction of any duration
  Millis margin = 50;       // time within which an admitted request reaches a backend
  Millis longest = 0;       // upper bound on how long a request sent for a slot runs, even if its sender dies

  bool operator==(const Sharing&) const = default;
};

// How long a share may be spent, counted from the start of the call that renewed it.
inline Millis valid_for(const Sharing& s) { return s.lease * (1 - 2 * s.drift) - s.margin; }

}  // namespace shorelead::fleet
