#include "estimate/service_times.h"

#include <algorithm>
#include <cmath>

namespace shorelead::estimate {
namespace {

constexpr double kServiceGain = 0.12;  // weight of one response in a backend's ratio
constexpr double kFleetGain = 0.02;    // weight of one response in the fleet's means
constexpr double kSlowGain = 0.1;      // weight of one response in the slowness of the whole fleet
constexpr double kFadePerPeriod =
    0.1;  // share of a ratio's deviation that fades in a period without responses
constexpr double kWrongMeanRatio = 0.5;  // if all backends' ratios are below this, the fleet's mean is wrong
constexpr double kHintGain = 0.003;      // least weight of one hint in the mean
constexpr double kHintExponent = 0.6;    // under 1, as hints are rough: pulls outliers towards the mean
constexpr double kMinWork = 0.1;         // mean requests
constexpr double kMaxWork = 10;          // mean requests

}  // namespace

double ServiceTimes::hinted(double expected_work) {
  hints_ += 1;
  const double gain = std::max(kHintGain, 1 / hints_);
  mean_ += (hints_ == 1 ? 1 : gain) * (expected_work - mean_);
  const double work = std::pow(expected_work, kHintExponent);
  mean_work_ += gain * (work - mean_work_);
  return std::clamp(work / mean_work_, kMinWork, kMaxWork);
}

// A served response gives the backend's service time. An attempt that failed or timed out gives a lower bound
// and counts only if it is above the estimate; without it a backend that never responds in time would keep
// its ratio. The fleet's mean is updated only from responses that met no contention.
void ServiceTimes::learn(RelativeServiceTime& service_time, const Sample& sample) {
  double& class_ratio = class_ratio_[static_cast<std::size_t>(sample.request_class)];
  const double slow = std::clamp(sample.unloaded / (mean_ * class_ratio * service_time.ratio), 0.1, 10.0);
  if (sample.warm && (sample.served || slow > slowness_)) slowness_ += kSlowGain * (slow - slowness_);
  const double ratio = std::clamp(sample.unloaded / (mean_ * class_ratio * slowdown_), 0.1, 10.0);
  if (!sample.served && ratio <= service_time.ratio) return;
  service_time.updated = true;
  if (!sample.fleet_only) service_time.ratio += kServiceGain * (ratio - service_time.ratio);
  if (!sample.served || hints_ > 0 || sample.crowded) return;
  class_ratio += kFleetGain * (sample.unloaded / (mean_ * service_time.ratio) - class_ratio);
  mean_ += kFleetGain * (sample.unloaded / (class_ratio * service_time.ratio) - mean_);
}

void ServiceTimes::fade(double samples, const std::vector<RelativeServiceTime*>& service_times,
                        bool from_peers) {
  slowness_ = std::pow(slowness_, 1 - kFadePerPeriod);
  slowdown_ = std::pow(std::max(1.0, slowness_), 1 / (1 + samples * samples));
  double slowest = 0;
  std::size_t updated = 0;
  for (const RelativeServiceTime* service_time : service_times) {
    updated += service_time->updated;
    if (service_time->updated) slowest = std::max(slowest, service_time->ratio);
  }
  const bool wrong =
      !from_peers && hints_ == 0 && updated * 2 > service_times.size() && slowest < kWrongMeanRatio;
  if (wrong) mean_ *= slowest;
  for (RelativeServiceTime* service_time : service_times) {
    if (service_time->updated && wrong) service_time->ratio /= slowest;
    if (!service_time->updated) service_time->ratio = std::pow(service_time->ratio, 1 - kFadePerPeriod);
    service_time->updated = false;
  }
}

}  // namespace shorelead::estimate
