#include "estimate/service_times.h"

#include <algorithm>
#include <cmath>

namespace shorelead::estimate {
namespace {

constexpr double kServiceGain = 0.12;  // weight of one answer in a backend's service time
constexpr double kFleetGain = 0.02;    // and in the fleet's means
constexpr double kSlowGain = 0.1;      // and in the slowness of all
constexpr double kForgetting = 0.1;    // of a backend's odd service time, in a period without answers
constexpr double kGuessShare = 0.5;    // of the mean: where all are below, it is wrong
constexpr double kHintGain = 0.003;    // weight of one hint in the mean
constexpr double kHintTrust = 0.6;     // power of a hint: it is rough, so far ones lie nearer to the mean
constexpr double kLeastWork = 0.1;     // mean requests
constexpr double kMostWork = 10;

}  // namespace

double ServiceTimes::hinted(double expected_work) {
  hints_ += 1;
  const double gain = std::max(kHintGain, 1 / hints_);
  mean_ += (hints_ == 1 ? 1 : gain) * (expected_work - mean_);
  const double work = std::pow(expected_work, kHintTrust);
  mean_work_ += gain * (work - mean_work_);
  return std::clamp(work / mean_work_, kLeastWork, kMostWork);
}

// A served answer tells the backend's speed. An attempt that got no answer says that it is slower than so,
// and counts only then: else a backend that answers nobody in time would teach nothing. The fleet's mean is
// learned from answers that met no crowd.
void ServiceTimes::learn(Speed& speed, const Answer& answer) {
  double& class_ratio = class_ratio_[static_cast<std::size_t>(answer.request_class)];
  const double slow = std::clamp(answer.alone / (mean_ * class_ratio * speed.ratio), 0.1, 10.0);
  if (answer.warm && (answer.served || slow > slowness_)) slowness_ += kSlowGain * (slow - slowness_);
  const double ratio = std::clamp(answer.alone / (mean_ * class_ratio * stretch_), 0.1, 10.0);
  if (!answer.served && ratio <= speed.ratio) return;
  speed.heard = true;
  if (!answer.only_fleet) speed.ratio += kServiceGain * (ratio - speed.ratio);
  if (!answer.served || hints_ > 0 || answer.crowded) return;
  class_ratio += kFleetGain * (answer.alone / (mean_ * speed.ratio) - class_ratio);
  mean_ += kFleetGain * (answer.alone / (class_ratio * speed.ratio) - mean_);
}

void ServiceTimes::fade(double held, const std::vector<Speed*>& speeds, bool told) {
  slowness_ = std::pow(slowness_, 1 - kForgetting);
  stretch_ = std::pow(std::max(1.0, slowness_), 1 / (1 + held * held));
  double slowest = 0;
  std::size_t heard = 0;
  for (const Speed* speed : speeds) {
    heard += speed->heard;
    if (speed->heard) slowest = std::max(slowest, speed->ratio);
  }
  const bool wrong = !told && hints_ == 0 && heard * 2 > speeds.size() && slowest < kGuessShare;
  if (wrong) mean_ *= slowest;
  for (Speed* speed : speeds) {
    if (speed->heard && wrong) speed->ratio /= slowest;
    if (!speed->heard) speed->ratio = std::pow(speed->ratio, 1 - kForgetting);
    speed->heard = false;
  }
}

}  // namespace shorelead::estimate
