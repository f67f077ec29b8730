// Requests in flight at backends by their load reports: takes reports in, distrusts those that contradict
// this node's own attempts, and lets old ones fade. Selects no backend.
#pragma once

#include "base/millis.h"

namespace shorelead {

// A backend's report of its own load. A negative value was not reported.
struct LoadReport {
  double in_hand = -1;  // requests in flight there, with those that wait
  double waiting = -1;  // of them, in its queue
  double busy = -1;     // share of its cores in use
  double rate = -1;     // requests served per second
  double latency = -1;
  double error_rate = -1;
};

namespace estimate {

// Of one backend.
struct Load {
  double other_requests = -1;      // in flight, of other nodes, by the last report; negative = never reported
  double mean_other_requests = 0;  // moving average of these
  Millis reported_at = 0;
  double busy = -1;                // share of its cores in use by the last report; negative = never reported
  double concurrency = 1;          // requests it works on at once without slowing down
  bool concurrency_known = false;  // by its reports; else estimated from warm backends by size
  Millis distrusted_until = 0;     // its reports are not used until then
};

class FleetLoad {
 public:
  // Takes a report in. `own`: requests of this node in flight there. `settled`: how many of these have been
  // for so long that a correct report counts them; 0 if that is unknown.
  void report(Load& load, const LoadReport& report, double own, double settled, Millis now);
  // Sets other nodes' requests in flight, from a load report or from the backend's owner.
  void set_others(Load& load, double others, Millis now);
  // Estimate of other nodes' requests in flight now. The last report fades with the time constant `lifetime`:
  // to 0 if `fades_to_none`, else to the fleet's mean, with `use_backend_mean` by way of the backend's own
  // mean.
  double others(const Load& load, Millis lifetime, bool fades_to_none, bool use_backend_mean,
                Millis now) const;
  // Whether reports give requests in flight and enough of them are right.
  bool reported() const;
  double mean_other_requests() const { return mean_other_requests_; }

 private:
  double wrong_ = 0;                // share of wrong reports among those that could be checked
  double mean_other_requests_ = 1;  // over all reports; 1 at first, so that no backend is taken to be idle
  double reports_ = 0;              // that gave requests in flight
};

}  // namespace estimate
}  // namespace shorelead
