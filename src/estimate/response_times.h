// Sliding windows of a backend's probe times. They give the two inputs of the ALBL paper's weights: its
// response time and its network delay.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "base/millis.h"
#include "base/numbers.h"

namespace shorelead::estimate {

class ResponseTimes {
 public:
  // Adds the response time of a probe.
  void add(Millis elapsed) {
    push(probes_, std::max(elapsed, kMinProbeTime), kResponsePeriods);
    double sum = 0;
    for (const Millis t : probes_) sum += t;
    push(responses_, sum / static_cast<double>(probes_.size()), kDelayPeriods);
  }
  bool known() const { return !responses_.empty(); }
  std::size_t probes() const { return responses_.size(); }  // at most kDelayPeriods
  Millis response() const { return responses_.back(); }     // requires known()
  Millis delay() const {
    return *std::min_element(responses_.begin(), responses_.end());
  }  // requires known()

 private:
  // The response time is the mean over so many probes, one a period.
  static constexpr std::size_t kResponsePeriods = 5;
  // The network delay is the lowest response time in so many periods.
  static constexpr std::size_t kDelayPeriods = 10;
  static constexpr Millis kMinProbeTime = 0.01;  // so that no share is infinite
  std::vector<Millis> probes_;
  std::vector<Millis> responses_;
};

}  // namespace shorelead::estimate
