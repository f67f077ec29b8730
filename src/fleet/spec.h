// What a configuration says of the fleet: the budgets that processes share, and the figures of the sharing
// itself. Pure data. Every process of a fleet has the same; where two versions of a file run side by side the
// plan carries the wholes it was made from, and a process never spends beyond the smaller of the two.
#pragma once

#include <string>
#include <vector>

#include "base/millis.h"

namespace shorelead::fleet {

enum class BudgetKind {
  kRate,      // `whole` a second, with a burst
  kAtOnce,    // `whole` at once
  kAttempts,  // further attempts: `whole` of them in any window, and `ratio` of the requests taken in it
};

// Who spends of it. Empty fields: all.
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
  double burst = 1;       // kRate: over any window W at most whole x W + burst
  double ratio = 0;       // kAttempts
  Millis window = 0;      // kAttempts
  Millis hold = 0;        // kAtOnce: none is in use for longer, whatever becomes of the process that began it
  double reserve = 0.05;  // part of the whole that needs no plan, in equal parts of `Sharing::most_processes`
  double least_part = 0.05;  // part of the rest that is divided equally whatever the demand
  double most_part = 0.9;    // of the whole, that one process can be given, whatever it claims
  BudgetScope scope;

  bool operator==(const Budget&) const = default;
};

struct Sharing {
  std::string prefix;       // of the fleet's keys
  int most_processes = 0;   // that may ever run at once
  Millis lease = 5000;      // a process that is not heard of for so long has no share
  Millis plan_every = 500;  // the planner looks so often whether to divide anew
  double drift = 0.01;      // clocks differ by at most this share of any span
  Millis margin = 50;       // and what is spent reaches a backend within this
  Millis longest = 0;       // what was sent for a slot is over after this, whatever becomes of who sent it

  bool operator==(const Sharing&) const = default;
};

// A share may be spent until this long after the call that renewed it was begun.
inline Millis valid_for(const Sharing& s) { return s.lease * (1 - 2 * s.drift) - s.margin; }

}  // namespace shorelead::fleet
