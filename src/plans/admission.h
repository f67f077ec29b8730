// The traffic's decision in a shortage: is this request taken, or turned away at once, and when may it come
// back? Pure, one thread, no lock, wait or allocation. Owns what is needed to keep the order while the
// cut-off moves, and the plans' floors; it must never park a request, nor move the cut-off.
//
// The order: in any 2 s nobody of a higher rank is turned away here while somebody of a lower one is taken
// (floors apart). A cut-off that moves over a rank would break it: it took the lower rank a moment ago. So it
// passes one rank in 2 s: a rank is cut only once all below it have been out for so long, and taken again
// only once all above it have been in for so long. Ranks nobody asks for are passed at once.
//
// Floors: a plan with one is owed that share of what it offers. What is cut is taken all the same where the
// plan is owed enough: more must be owed the lower the class and the smaller the coin, so the floor goes to
// the plan's best classes and, among those, to the same clients each time; where there are few clients it is
// kept all the same, since what is owed grows until somebody will do.
#pragma once

#include <cstdint>
#include <vector>

#include "base/millis.h"
#include "fleet/plan.h"
#include "plans/coin.h"
#include "plans/order.h"

namespace shorelead::plans {

struct AdmissionSettings {
  Millis least_wait = 1000;  // before a client may come back
  Millis most_wait = 4000;   // at most; 0 = nothing is told of coming back
};

enum class Admitted {
  kTaken,  // not cut
  kFloor,  // cut, but owed to its plan
  kOrder,  // cut by the cut-off, but a lower rank was taken a moment ago
  kCut,    // turned away
  kWaits,  // turned away: let in by the cut-off, but a higher rank was turned away a moment ago
};

struct Verdict {
  Admitted as = Admitted::kTaken;
  Millis come_back = 0;  // for those turned away: after so long; 0 = nothing is said

  bool taken() const { return as <= Admitted::kOrder; }
};

class Admission {
 public:
  // `order` outlives it.
  Admission(const Order& order, const AdmissionSettings& settings);

  // `now` never falls. `plan` and `request_class` as the order has them, the coin as coin_of gives it.
  Verdict decide(const fleet::CutOff& cut, int plan, int request_class, const Coin& coin, Millis now);

  // How many since the start, by what became of them: [rank * 5 + Admitted].
  const std::vector<std::uint64_t>& counts() const { return counts_; }
  std::uint64_t count(int rank, Admitted as) const {
    return counts_[static_cast<std::size_t>(rank) * 5 + static_cast<std::size_t>(as)];
  }

 private:
  bool owed(int plan, int request_class, const Coin& coin);
  Millis wait(const fleet::CutOff& cut, int rank, double coin) const;

  const Order& order_;
  const AdmissionSettings settings_;
  std::vector<Millis> taken_at_;    // by rank: the last one taken for another reason than a floor
  std::vector<Millis> refused_at_;  // by rank
  Millis refused_any_at_;
  std::vector<double> owed_;  // by plan
  std::vector<std::uint64_t> counts_;
};

}  // namespace shorelead::plans
