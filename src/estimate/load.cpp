#include "estimate/load.h"

#include <algorithm>
#include <cmath>

namespace shorelead::estimate {
namespace {

constexpr double kWrongGain = 0.15;   // weight of one check
constexpr double kWrongShare = 0.3;   // more wrong than this, no report is believed
constexpr Millis kDoubt = 2000;       // for which a backend found wrong is not believed
constexpr double kFleetGain = 0.02;   // weight of one report in the fleet's mean
constexpr double kCrowdGain = 0.3;    // weight of one report in what a backend usually has in hand
constexpr Millis kCrowdLife = 2000;   // in which that loses most of its meaning
constexpr double kSomeWaiting = 0.5;  // requests: reports are noisy, so less than this is none

}  // namespace

bool FleetLoad::told() const { return reports_ > 0 && wrong_ < kWrongShare; }

void FleetLoad::report(Load& load, const LoadReport& report, double own, double settled, Millis now) {
  // A report that leaves out requests which this node has had there for long is not of now. Load figures have
  // been seen to stand still for half a minute, drawing all traffic to whoever stood at nothing.
  if (report.in_hand >= 0 && settled > 0) {
    const bool wrong = report.in_hand + kSomeWaiting < settled;
    wrong_ += kWrongGain * ((wrong ? 1.0 : 0.0) - wrong_);
    if (wrong) load.doubted_until = now + kDoubt;
  }
  load.busy = report.busy;
  load.reported_at = now;
  if (report.in_hand < 0) return;
  tell(load, std::max(0.0, report.in_hand - own), now);
  if (report.waiting > kSomeWaiting) {
    load.lanes = std::max(1.0, std::round(report.in_hand - report.waiting));
    load.lanes_known = true;
  } else if (report.waiting == 0 && report.busy >= 0 && report.busy < 1 && report.in_hand > load.lanes) {
    // Nobody waits and a core is free: it works on as many at once as it has in hand. Were it taken for
    // crowded, it would get nothing, and nothing could tell.
    load.lanes = std::round(report.in_hand);
    load.lanes_known = true;
  }
}

void FleetLoad::tell(Load& load, double others, Millis now) {
  load.usual_others += (load.others >= 0 ? kCrowdGain : 1) * (others - load.usual_others);
  load.others = others;
  load.reported_at = now;
  reports_ += 1;
  mean_others_ += std::max(kFleetGain, 1 / (1 + reports_)) * (others - mean_others_);
}

double FleetLoad::others(const Load& load, Millis life, bool fades_to_none, bool remembered,
                         Millis now) const {
  const bool heard = load.others >= 0 && now >= load.doubted_until;
  const Millis age = now - load.reported_at;
  const double fresh = heard ? std::exp(-age / life) : 0;
  const double all = fades_to_none ? 0 : mean_others_;
  const double known = remembered && load.others >= 0 ? std::exp(-age / kCrowdLife) : 0;
  const double usual = all + (load.usual_others - all) * known;
  return usual + (load.others - usual) * fresh;
}

}  // namespace shorelead::estimate
