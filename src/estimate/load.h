// How many requests are in backends' hands, as their load reports tell. It owns taking reports in, doubting
// those that cannot be, and letting old ones fade. It must never choose a backend: that is the module's.
#pragma once

#include "base/millis.h"

namespace shorelead {

// A backend's own load figures; a negative value was not reported.
struct LoadReport {
  double in_hand = -1;
  double waiting = -1;
  double busy = -1;  // share of its cores in use
  double rate = -1;  // requests served per second
  double latency = -1;
  double error_rate = -1;
};

namespace estimate {

// Of one backend.
struct Load {
  double others = -1;  // requests of other nodes in its hands at its last report; negative = never reported
  double usual_others = 0;  // the same over several reports
  Millis reported_at = 0;
  double busy = -1;          // share of its cores in use then; negative = never reported
  double lanes = 1;          // requests it works on at once without slowing
  bool lanes_known = false;  // its reports have told; else they are guessed from warm backends of like size
  Millis doubted_until = 0;  // its reports are not believed until then
};

class FleetLoad {
 public:
  // A report came. `own` of this node's requests are there, `settled` of them for so long that a report must
  // count them (0 where that cannot be said).
  void report(Load& load, const LoadReport& report, double own, double settled, Millis now);
  // So many requests of others are there, whoever told.
  void tell(Load& load, double others, Millis now);
  // Others' requests there now: the last report fades within about `life` to the fleet's mean, or to none
  // where `fades_to_none`; on the way, where `remembered`, to what its reports usually say.
  double others(const Load& load, Millis life, bool fades_to_none, bool remembered, Millis now) const;
  // Whether reports tell requests in hand, and are to be believed.
  bool told() const;
  double mean_others() const { return mean_others_; }

 private:
  double wrong_ = 0;        // share of reports found wrong, of those that could be checked
  double mean_others_ = 1;  // over all reports; until they come nobody is taken to be idle
  double reports_ = 0;      // of requests in hand
};

}  // namespace estimate
}  // namespace shorelead
