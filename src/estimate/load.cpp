#include "estimate/load.h"

#include <algorithm>
#include <cmath>

namespace shorelead::estimate {
namespace {

constexpr double kWrongGain = 0.15;            // weight of one checked report in the share of wrong ones
constexpr double kMaxWrongShare = 0.3;         // over this share no load report is trusted
constexpr Millis kDistrustSpan = 2000;         // how long a backend that sent a wrong report is not trusted
constexpr double kFleetGain = 0.02;            // least weight of one report in the fleet's mean
constexpr double kBackendGain = 0.3;           // weight of one report in the backend's mean
constexpr Millis kBackendMeanLifetime = 2000;  // time constant with which the backend's mean fades
constexpr double kReportNoise = 0.5;           // requests; reports are noisy, so smaller counts mean none

}  // namespace

bool FleetLoad::reported() const { return reports_ > 0 && wrong_ < kMaxWrongShare; }

void FleetLoad::report(Load& load, const LoadReport& report, double own, double settled, Millis now) {
  // A report that leaves out requests which this node has long had in flight there is stale. Load figures
  // have been seen to freeze for half a minute, which drew all traffic to the backends frozen at zero.
  if (report.in_hand >= 0 && settled > 0) {
    const bool wrong = report.in_hand + kReportNoise < settled;
    wrong_ += kWrongGain * ((wrong ? 1.0 : 0.0) - wrong_);
    if (wrong) load.distrusted_until = now + kDistrustSpan;
  }
  load.busy = report.busy;
  load.reported_at = now;
  if (report.in_hand < 0) return;
  set_others(load, std::max(0.0, report.in_hand - own), now);
  if (report.waiting > kReportNoise) {
    load.concurrency = std::max(1.0, std::round(report.in_hand - report.waiting));
    load.concurrency_known = true;
  } else if (report.waiting == 0 && report.busy >= 0 && report.busy < 1 &&
             report.in_hand > load.concurrency) {
    // The queue is empty and a core is free, so the backend works on all its requests at once. If it were
    // taken for overloaded, it would get no requests, and no report could correct that.
    load.concurrency = std::round(report.in_hand);
    load.concurrency_known = true;
  }
}

void FleetLoad::set_others(Load& load, double others, Millis now) {
  load.mean_other_requests +=
      (load.other_requests >= 0 ? kBackendGain : 1) * (others - load.mean_other_requests);
  load.other_requests = others;
  load.reported_at = now;
  reports_ += 1;
  mean_other_requests_ += std::max(kFleetGain, 1 / (1 + reports_)) * (others - mean_other_requests_);
}

double FleetLoad::others(const Load& load, Millis lifetime, bool fades_to_none, bool use_backend_mean,
                         Millis now) const {
  const bool trusted = load.other_requests >= 0 && now >= load.distrusted_until;
  const Millis age = now - load.reported_at;
  const double fresh = trusted ? std::exp(-age / lifetime) : 0;
  const double fleet_mean = fades_to_none ? 0 : mean_other_requests_;
  const double weight =
      use_backend_mean && load.other_requests >= 0 ? std::exp(-age / kBackendMeanLifetime) : 0;
  const double usual = fleet_mean + (load.mean_other_requests - fleet_mean) * weight;
  return usual + (load.other_requests - usual) * fresh;
}

}  // namespace shorelead::estimate
