// Further attempts within a part of a budget, over any window. Pure, no allocation once its deques have
// grown. The decision module's own bound and a fleet's share of a whole (fleet/share.h) are both this. It
// must never count by buckets: the window slides.
#pragma once

#include <deque>

#include "base/millis.h"

namespace shorelead::limits {

// kShare: none left of it; kReserve: the share ran out, and the reserve is spent too.
enum class Spent { kYes, kShare, kReserve };

// Further attempts: `part.amount` in any window, and a ratio of the requests taken in it. The ratio is each
// process's own and needs no sharing.
class AttemptShare {
 public:
  AttemptShare(double reserve, double ratio, Millis window)
      : reserve_(reserve), ratio_(ratio), window_(window) {}
  void set(double amount, Millis now);
  void taken(Millis now);  // a request was
  Spent spend(Millis now, Millis valid_until);
  double left(Millis now, Millis valid_until);

 private:
  void forget(Millis now);
  double amount_ = 0;
  const double reserve_;
  const double ratio_;
  const Millis window_;
  std::deque<Millis> taken_;
  std::deque<Millis> spent_;
  struct Raised {
    Millis at;
    double by;
  };
  std::deque<Raised> raised_;  // counts as spent until the window has passed
  Millis began_ = -1;
};

}  // namespace shorelead::limits
