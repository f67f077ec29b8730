// Service times of backends: the fleet's mean, and each request class's and each backend's ratio to it,
// learned from responses and from hints of requests' work. Selects no backend.
#pragma once

#include <cstddef>
#include <vector>

#include "base/millis.h"

namespace shorelead::estimate {

// Of one backend.
struct RelativeServiceTime {
  double ratio = 1;      // its service time over the fleet's mean
  bool updated = false;  // by a response or time-out in this period
};

class ServiceTimes {
 public:
  explicit ServiceTimes(Millis guess) : mean_(guess) {}
  // Sets the number of request classes; keeps what was learned of those that remain.
  void set_classes(std::size_t count) { class_ratio_.resize(count, 1.0); }

  // Takes in a request's hint of its work (over 0) and returns the work in mean requests. From the first hint
  // on, hints alone set the fleet's mean.
  double hinted(double expected_work);

  Millis mean() const { return mean_; }
  Millis class_mean(int request_class) const {
    return mean_ * class_ratio_[static_cast<std::size_t>(request_class)];
  }
  Millis expected(int request_class, const RelativeServiceTime& service_time) const {
    return class_mean(request_class) * service_time.ratio * slowdown_;
  }

  struct Sample {
    int request_class = 0;
    Millis unloaded = 0;      // response time without the effects of load and warm-up
    bool served = true;       // else it failed, or had no response after that time
    bool warm = true;         // the backend's warm-up is over
    bool crowded = false;     // other requests slowed it down
    bool fleet_only = false;  // peers report the backend's own ratio
  };
  void learn(RelativeServiceTime& service_time, const Sample& sample);

  // Called once a period with all usable backends. The fewer responses (`samples`) a backend's own ratio
  // rests on, the more the slowness of the whole fleet stretches expected times. The ratio of a backend
  // without responses fades to 1, as a backend avoided for being slow gets no responses that could clear it.
  // If over half of the backends were updated and all their ratios are far below 1, the mean is too high and
  // is corrected; that happens where responses meet contention from the start, so that none updates the mean.
  void fade(double samples, const std::vector<RelativeServiceTime*>& service_times, bool from_peers);

 private:
  Millis mean_;
  std::vector<double> class_ratio_;
  double slowness_ = 1;  // recent service times over the expected ones, over all backends
  double slowdown_ = 1;  // factor on expected times that follows from it
  double hints_ = 0;
  double mean_work_ = 0;  // mean of hints to the power of kHintExponent
};

}  // namespace shorelead::estimate
