// A process's part of one budget, as its traffic spends it. Pure, one thread, no allocation after it is made.
// Whoever reads this page sees why the sum over all processes cannot exceed the whole:
//   - the parts that may be spent at any moment add up to at most the whole (plan.h);
//   - a part raised brings no tokens with it: only time fills them (rates), and what is raised of a count in
//   a
//     window counts as spent until the window has passed; so what the one before has spent is not spent
//     again;
//   - a part lowered cuts what was saved up at once;
//   - after `valid_until` nothing is left of it but the reserve, which is this process's own for good and
//     begins empty. Validity is looked at when spending: a process that stood still finds it over.
// It must never be asked with a time that was read before the request at hand.
#pragma once

#include <cstdint>

#include "base/millis.h"
#include "fleet/plan.h"
#include "limits/attempt_share.h"

namespace shorelead::fleet {

using limits::Spent;

// A rate with a burst: a token bucket for the share, one for the reserve.
class RateShare {
 public:
  explicit RateShare(const Part& reserve) : reserve_(reserve) {}
  void set(const Part& part, Millis now);  // raises and lowers
  Spent spend(Millis now, Millis valid_until);
  double saved() const { return tokens_; }

 private:
  void fill(Millis now, Millis valid_until);
  Part part_;
  const Part reserve_;
  double tokens_ = 0;
  double kept_ = 0;  // of the reserve
  Millis at_ = -1;
};

// So many at once.
class AtOnceShare {
 public:
  explicit AtOnceShare(double reserve) : reserve_(reserve) {}
  void set(double most) { most_ = most; }
  Spent spend(Millis now, Millis valid_until);
  void end();  // one of those spent is over
  int in_use() const { return in_use_; }

 private:
  double most_ = 0;
  const double reserve_;
  int in_use_ = 0;
};

}  // namespace shorelead::fleet
