// A process's part of one budget, as its traffic spends it. Pure, one thread, no allocation after it is made.
// Whoever reads this page sees why the sum over all processes cannot exceed the whole:
//   - the parts that may be spent at any moment add up to at most the whole (plan.h);
//   - a part raised brings no tokens with it: only time fills them (rates), and what is raised of a count in
//     a window is usable once the window has passed (limits/attempt_share.h); so what the one before has
//     spent is not spent again;
//   - a part lowered cuts what was saved up at once;
//   - after `valid_until` nothing is left of it but the reserve, which needs no plan and begins empty; of
//     processes that stand in for one another one has it, from when it is told (`reserve_from`). Validity is
//     looked at when spending: a process that stood still finds it over.
// All tokens together never exceed the burst and are filled at most at the rate: so any window W sees at most
// rate x W + burst.
//
// One unit is one token: a part with a burst under 1 spends nothing. Parts are as `usable` (division.h) gives
// them, reserves as `reserve_of`. `valid_until` is that of the incarnation whose part was set; before the
// part of another incarnation is set, the share is set to nothing. It must never be asked with a time that
// was read before the request at hand.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/millis.h"
#include "fleet/plan.h"
#include "limits/attempt_share.h"

namespace shorelead::fleet {

using limits::AttemptShare;
using limits::Spent;

// A rate with a burst: one bucket, as large and filled as fast as the reserve, and the share while that is
// valid. Two of them would admit no more over any window, but less in all: what one has no room for is lost
// though the other is empty.
class RateShare {
 public:
  explicit RateShare(const Part& reserve) : reserve_(reserve) {}
  // The reserve counts from `from` on, empty then; infinity: somebody else has it.
  void reserve_from(Millis from, Millis now, Millis valid_until);
  void set(const Part& part, Millis now, Millis valid_until);  // raises and lowers
  Spent spend(Millis now, Millis valid_until);
  double saved() const { return tokens_; }

 private:
  void fill(Millis now, Millis valid_until);
  Part part_;
  const Part reserve_;
  double tokens_ = 0;
  Millis from_ = -1;  // the reserve counts
  Millis at_ = -1;
};

// So many at once.
class AtOnceShare {
 public:
  // `hold`: Budget::hold; the reserve is usable so long after the first call, as a process that was there
  // before may have it in use.
  explicit AtOnceShare(double reserve, Millis hold = 0) : reserve_(reserve), hold_(hold) {}
  void reserve_from(Millis from) { began_ = from; }  // usable `hold` after that
  void set(double most) { most_ = most; }
  Spent spend(Millis now, Millis valid_until);
  void end() { --in_use_; }  // one of those spent is over
  int in_use() const { return in_use_; }
  // What a record must still say is in force after the part was lowered.
  double beyond_reserve(Millis now) const { return std::max(0.0, in_use_ - usable_reserve(now)); }

 private:
  double usable_reserve(Millis now) const { return began_ >= 0 && now - began_ >= hold_ ? reserve_ : 0; }
  double most_ = 0;
  const double reserve_;
  const Millis hold_;
  int in_use_ = 0;
  Millis began_ = -1;
};

}  // namespace shorelead::fleet
