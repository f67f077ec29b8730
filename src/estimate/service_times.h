// How long backends work on requests: the fleet's mean, each class's and each backend's ratio to it. It owns
// learning them from answers and hints. It must never choose a backend: that is the module's.
#pragma once

#include <cstddef>
#include <vector>

#include "base/millis.h"

namespace shorelead::estimate {

// Of one backend.
struct Speed {
  double ratio = 1;    // its service time over the fleet's
  bool heard = false;  // an answer, or a time-out, told of it this period
};

class ServiceTimes {
 public:
  explicit ServiceTimes(Millis guess) : mean_(guess) {}
  // How many classes there are; what was learnt of them stays.
  void set_classes(std::size_t count) { class_ratio_.resize(count, 1.0); }

  // A request's hinted work (over 0), in mean requests. Hints set the fleet's mean from then on.
  double hinted(double expected_work);

  Millis mean() const { return mean_; }
  Millis usual(int request_class) const {
    return mean_ * class_ratio_[static_cast<std::size_t>(request_class)];
  }
  Millis expected(int request_class, const Speed& speed) const {
    return usual(request_class) * speed.ratio * stretch_;
  }

  struct Answer {
    int request_class = 0;
    Millis alone = 0;    // its time there, with the crowd that it met and the backend's warmth taken out
    bool served = true;  // else none came by then
    bool warm = true;    // the backend's start is past
    bool crowded = false;
    bool only_fleet = false;  // the backend's own ratio is told by others
  };
  void learn(Speed& speed, const Answer& answer);

  // Once a period, of all usable backends. The fewer answers a backend's own record holds, the more what all
  // tell stretches times. One passed over for being slow gets no answers that could clear it, so its record
  // fades. Where answers meet a crowd from the first moment on, none teaches the mean; but if over half of
  // all told of theirs, and each is well below it, it cannot be theirs.
  void fade(double held, const std::vector<Speed*>& speeds, bool told);

 private:
  Millis mean_;
  std::vector<double> class_ratio_;
  double slowness_ = 1;  // times of late over what was expected of those backends, all together
  double stretch_ = 1;   // and what that makes of expected times
  double hints_ = 0;
  double mean_work_ = 0;  // of hints, by the power of their trust
};

}  // namespace shorelead::estimate
