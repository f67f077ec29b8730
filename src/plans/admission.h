// Admission control on the request path: whether a request is admitted or rejected at once during a shortage,
// and after how long its client may retry. Pure, not thread-safe; takes no lock, does not wait or allocate.
// Owns the state that keeps the order while the cut-off moves, and the plans' floors. It neither queues
// requests nor moves the cut-off.
//
// The order: within any 2 s no request of a higher rank is rejected here while one of a lower rank is
// admitted (floors apart). A cut-off that moves past a rank would break it, since the lower rank was admitted
// a moment ago. So it passes one rank in 2 s: a rank is cut only once all below it have been rejected for
// that long, and admitted again only once all above it have been admitted for that long. Ranks without
// requests are passed at once.
//
// Floors: a plan with a floor is owed that share of its offered load. A request that the cut-off rejects is
// admitted all the same if its plan is owed enough: the lower the class and the smaller the stable sample,
// the more must be owed. So the floor goes to the plan's best classes and, among those, to the same clients
// each time. With few clients the floor is kept too, since the debt grows until a request qualifies.
#pragma once

#include <cstdint>
#include <vector>

#include "base/millis.h"
#include "fleet/plan.h"
#include "plans/order.h"
#include "plans/stable_sample.h"

namespace shorelead::plans {

struct AdmissionSettings {
  Millis min_retry_after = 1000;  // shortest time before a rejected client may retry
  Millis max_retry_after = 4000;  // longest such time; 0 = the client is given no time
};

enum class Admitted {
  kAdmitted,          // admitted by the cut-off
  kAdmittedForFloor,  // cut, but admitted for its plan's floor
  kAdmittedForOrder,  // cut, but admitted: a lower rank was admitted within the last 2 s
  kRejected,          // rejected by the cut-off
  kRejectedForOrder,  // not cut, but rejected: a higher rank was rejected within the last 2 s
};

struct Verdict {
  Admitted as = Admitted::kAdmitted;
  Millis retry_after = 0;  // for rejected requests: time until a retry; 0 = none is given

  bool taken() const { return as <= Admitted::kAdmittedForOrder; }
};

class Admission {
 public:
  // `order` must outlive this object.
  Admission(const Order& order, const AdmissionSettings& settings);

  // `now` never decreases. `plan` and `request_class` are the order's indices.
  Verdict decide(const fleet::CutOff& cut, int plan, int request_class, const StableSample& sample,
                 Millis now);

  // Requests since the start: [rank * 5 + Admitted].
  const std::vector<std::uint64_t>& counts() const { return counts_; }
  std::uint64_t count(int rank, Admitted as) const {
    return counts_[static_cast<std::size_t>(rank) * 5 + static_cast<std::size_t>(as)];
  }

 private:
  bool owed(int plan, int request_class, const StableSample& sample);
  Millis wait(const fleet::CutOff& cut, int rank, double sample) const;

  const Order& order_;
  const AdmissionSettings settings_;
  std::vector<Millis> admitted_at_;  // by rank: the last one admitted for another reason than a floor
  std::vector<Millis> rejected_at_;  // by rank
  Millis rejected_any_at_;
  std::vector<double> owed_;  // by plan: requests that its floor is owed
  std::vector<std::uint64_t> counts_;
};

}  // namespace shorelead::plans
