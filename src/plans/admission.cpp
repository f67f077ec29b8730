#include "plans/admission.h"

#include <algorithm>
#include <limits>

#include "plans/level.h"

namespace shorelead::plans {
namespace {

constexpr Millis kNever = -std::numeric_limits<Millis>::infinity();
constexpr Millis kOrderWindow = 2000;  // the order holds within any window of this length
// Additional debt, in requests, required for a class one step lower, or for a sample of 0 in place of 1:
// several times the random variation of the debt (about one), and few enough to be owed within seconds.
constexpr double kFloorDebtStep = 8;

bool within(Millis then, Millis now) { return now - then <= kOrderWindow; }

}  // namespace

Admission::Admission(const Order& order, const AdmissionSettings& settings)
    : order_(order),
      settings_(settings),
      admitted_at_(static_cast<std::size_t>(order.ranks()), kNever),
      rejected_at_(static_cast<std::size_t>(order.ranks()), kNever),
      rejected_any_at_(kNever),
      owed_(order.plans().size(), 0),
      counts_(static_cast<std::size_t>(order.ranks()) * 5, 0) {}

Verdict Admission::decide(const fleet::CutOff& cut, int plan, int request_class, const StableSample& sample,
                          Millis now) {
  const int rank = order_.rank_of(plan, request_class);
  const auto at = static_cast<std::size_t>(rank);
  Admitted as = Admitted::kAdmitted;
  if (is_cut(cut, rank, sample)) {
    as = Admitted::kRejected;
    for (std::size_t lower = at + 1; lower < admitted_at_.size(); ++lower) {
      if (within(admitted_at_[lower], now)) as = Admitted::kAdmittedForOrder;
    }
  } else if (within(rejected_any_at_, now)) {
    for (std::size_t higher = 0; higher < at; ++higher) {
      if (within(rejected_at_[higher], now)) as = Admitted::kRejectedForOrder;
    }
  }
  const bool fits = owed(plan, request_class, sample);
  if (fits && as >= Admitted::kRejected) as = Admitted::kAdmittedForFloor;
  double& debt = owed_[static_cast<std::size_t>(plan)];
  if (as <= Admitted::kAdmittedForOrder) {
    debt = std::max(0.0, debt - 1);
    if (as != Admitted::kAdmittedForFloor) admitted_at_[at] = now;
  } else {
    rejected_at_[at] = rejected_any_at_ = now;
  }
  ++counts_[at * 5 + static_cast<std::size_t>(as)];
  return {as, as >= Admitted::kRejected ? wait(cut, rank, sample) : 0};
}

bool Admission::owed(int plan, int request_class, const StableSample& sample) {
  const double floor = order_.plans()[static_cast<std::size_t>(plan)].floor;
  if (!(floor > 0)) return false;
  double& debt = owed_[static_cast<std::size_t>(plan)];
  debt = std::min(debt + std::min(floor, 1.0), 1 + kFloorDebtStep * order_.classes());
  if (floor >= 1) return true;
  return debt >= 1 + kFloorDebtStep * (order_.step_of(plan, request_class) + 1 - sample);
}

Millis Admission::wait(const fleet::CutOff& cut, int rank, double sample) const {
  if (!(settings_.max_retry_after > 0)) return 0;
  // Requests close to the cut-off retry first, since they are admitted first. Within the rank that is partly
  // cut only samples below its share are rejected.
  const double part = rank == cut.rank && cut.share > 0 ? std::min(1.0, sample / cut.share) : sample;
  const Millis least = std::min(settings_.min_retry_after, settings_.max_retry_after);
  return least + (settings_.max_retry_after - least) * (1 - part);
}

}  // namespace shorelead::plans
