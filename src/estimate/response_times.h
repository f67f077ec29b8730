// The paper's two figures of a backend, from the balancer's own probes: response time and network delay. It
// keeps the windows; weights are the module's.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "base/millis.h"
#include "base/numbers.h"

namespace shorelead::estimate {

class ResponseTimes {
 public:
  // A probe was answered after `elapsed`.
  void add(Millis elapsed) {
    push(probes_, std::max(elapsed, kTiniest), kResponsePeriods);
    double sum = 0;
    for (const Millis t : probes_) sum += t;
    push(responses_, sum / static_cast<double>(probes_.size()), kDelayPeriods);
  }
  bool known() const { return !responses_.empty(); }
  std::size_t probes() const { return responses_.size(); }  // counted to the length of the delay's window
  Millis response() const { return responses_.back(); }     // mean of the last probes; if known()
  Millis delay() const { return *std::min_element(responses_.begin(), responses_.end()); }  // if known()

 private:
  static constexpr std::size_t kResponsePeriods =
      5;                                            // response time = mean probe time over this many periods
  static constexpr std::size_t kDelayPeriods = 10;  // network delay = lowest response time in this many
  static constexpr Millis kTiniest = 0.01;          // so that no share is infinite
  std::vector<Millis> probes_;
  std::vector<Millis> responses_;
};

}  // namespace shorelead::estimate
