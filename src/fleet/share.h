// One process's share of one budget, as the traffic thread spends it. No I/O; single-threaded; allocates only
// on construction. The sum over all processes cannot exceed the whole because:
//   - the parts that may be spent at any moment add up to at most the whole (plan.h);
//   - raising a part adds no tokens: a rate is refilled by time alone, and an increase of a count per window
//     is usable only after that window (limits/attempt_share.h), so tokens that the previous holder has spent
//     are not spent again;
//   - lowering a part cuts saved tokens immediately;
//   - after `valid_until` only the reserve remains, which needs no plan and starts empty; of the processes
//     of one hot restart only one has it, from the time set by `reserve_from`. Validity is checked when
//     spending, so a process that was suspended finds it expired.
// Tokens never exceed the burst and are refilled at most at the rate, so at most rate x W + burst are spent
// in any window W.
//
// One unit is one token: a part with a burst below 1 spends nothing. Parts come from `usable` (division.h),
// reserves from `reserve_of`. `valid_until` belongs to the incarnation whose part was set; the share is set
// to nothing before the part of another incarnation is set. Callers pass a time read for the request at hand.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/millis.h"
#include "fleet/plan.h"
#include "limits/attempt_share.h"

namespace shorelead::fleet {

using limits::AttemptShare;
using limits::Spent;

// A rate with a burst: one token bucket whose size and refill rate are those of the reserve plus, while it is
// valid, the share. Two buckets would admit less: tokens that overflow one are lost while the other is empty.
class RateShare {
 public:
  explicit RateShare(const Part& reserve) : reserve_(reserve) {}
  // The reserve counts from `from` on and starts empty; infinity: another process has it.
  void reserve_from(Millis from, Millis now, Millis valid_until);
  void set(const Part& part, Millis now, Millis valid_until);  // raises and lowers
  Spent spend(Millis now, Millis valid_until);
  double saved() const { return tokens_; }

 private:
  void fill(Millis now, Millis valid_until);
  Part part_;
  const Part reserve_;
  double tokens_ = 0;
  Millis from_ = -1;  // when the reserve starts to count
  Millis at_ = -1;
};

// A limit on concurrent use.
class AtOnceShare {
 public:
  // `hold`: Budget::hold. The reserve is usable only this long after the first call, since a predecessor of
  // this process may still have it in use.
  explicit AtOnceShare(double reserve, Millis hold = 0) : reserve_(reserve), hold_(hold) {}
  void reserve_from(Millis from) { began_ = from; }  // usable from `from + hold`
  void set(double most) { most_ = most; }
  Spent spend(Millis now, Millis valid_until);
  void end() { --in_use_; }  // releases one unit spent
  int in_use() const { return in_use_; }
  // Units in use beyond the reserve: after the part was lowered the record still has to report them.
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
