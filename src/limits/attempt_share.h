// Further attempts within a part of a budget, over any window. Pure, no allocation once its rings have grown.
// The decision module's own bound and a fleet's share of a whole (fleet/share.h) are both this. It must never
// count by buckets: the window slides.
//
// What holds at each attempt of one process: those of the window that ends with it are at most the part and a
// ratio of the requests taken in that window. What holds of a fleet in every window: all attempts in it are
// at most the whole and the ratio of the requests taken in it and in the window before, since an attempt may
// rest on a request that is almost a window older.
#pragma once

#include "base/millis.h"
#include "base/ring.h"

namespace shorelead::limits {

// kShare: none left of it; kReserve: the share ran out, and the reserve is spent too.
enum class Spent { kYes, kShare, kReserve };

// Further attempts: `amount` in any window, and a ratio of the requests taken in it. The ratio is each
// process's own and needs no sharing.
//
// Of an amount that changes the least of the window counts: what was raised is usable once the window has
// passed, as the one who had it before may have spent it in this window. For any window from u on, all
// processes then spent at most what each had at u, and that was at most the whole.
class AttemptShare {
 public:
  // The reserve likewise is usable once a window has passed since the first call: a process that was there
  // before may have spent it.
  AttemptShare(double reserve, double ratio, Millis window)
      : reserve_(reserve), ratio_(ratio), window_(window) {}
  void reserve_from(Millis from) { began_ = from; }  // in place of the first call; infinity: there is none
  // Of another incarnation than the part before: set it to 0 first.
  void set(double amount, Millis now);
  void taken(Millis now);  // a request was
  Spent spend(Millis now, Millis valid_until);
  double left(Millis now, Millis valid_until);

 private:
  void forget(Millis now);
  const double reserve_;
  const double ratio_;
  const Millis window_;
  Ring<Millis> taken_;
  Ring<Millis> spent_;
  struct Had {
    Millis until;  // when the next one replaced it
    double amount;
  };
  Ring<Had> had_;      // in the window, rising: the first is the least
  double amount_ = 0;  // now
  Millis began_ = -1;
};

}  // namespace shorelead::limits
