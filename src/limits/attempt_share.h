// Limits the retries of one process within a sliding window to its share of a budget. Does no I/O, reads no
// clock and allocates nothing once its rings have grown. Used for the policy's own bound on retries and for a
// process's share of a fleet's budget (fleet/share.h).
//
// At each retry of one process: the retries in the window that ends with it are at most the share plus a
// ratio of the requests received in that window. In every window of a whole fleet: all retries are at most
// the whole budget plus the ratio of the requests received in that window and in the one before it, since a
// retry may be based on a request that is almost one window older.
#pragma once

#include "base/millis.h"
#include "base/ring.h"

namespace shorelead::limits {

// Whether a retry may be sent. kYes: it may, and is counted. kShare: the share is used up. kReserve: the
// share is no longer valid, and the reserve is used up.
enum class Spent { kYes, kShare, kReserve };

// Allows `amount` retries in any window, plus a ratio of the requests received in it. The ratio is each
// process's own and is not shared.
//
// When the amount changes, the lowest one within the window counts: an increase is usable only after a full
// window, as the process that had it before may have spent it in this one. So in any window that begins at u,
// each process spends at most its amount at u, and all these together are at most the whole budget.
class AttemptShare {
 public:
  // The reserve, too, is usable only one window after the first call, as an earlier process may have spent
  // it.
  AttemptShare(double reserve, double ratio, Millis window)
      : reserve_(reserve), ratio_(ratio), window_(window) {}
  void reserve_from(Millis from) { began_at_ = from; }  // counts from `from` instead; infinity: no reserve
  // Call with 0 first if the amount belongs to another incarnation than the one before.
  void set(double amount, Millis now);
  void taken(Millis now);  // a request was received
  Spent spend(Millis now, Millis valid_until);
  double left(Millis now, Millis valid_until);

 private:
  void expire(Millis now);
  const double reserve_;
  const double ratio_;
  const Millis window_;
  Ring<Millis> requests_;
  Ring<Millis> attempts_;
  struct EarlierAmount {
    Millis until;  // when the next amount replaced it
    double amount;
  };
  Ring<EarlierAmount> earlier_amounts_;  // within the window, rising: the first is the minimum
  double amount_ = 0;                    // current
  Millis began_at_ = -1;
};

}  // namespace shorelead::limits
