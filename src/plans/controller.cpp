#include "plans/controller.h"

#include <algorithm>
#include <cmath>

namespace shorelead::plans {
namespace {

constexpr Millis kCapacityDecay = 120000;  // time constant with which the peak load answered in time decays
constexpr Millis kMaxObservationGap =
    5000;  // observations further apart than this prove nothing of the time between
constexpr Millis kMaxPropagation =
    5000;  // a move counts as in force after this, even if not all have acknowledged it
constexpr Millis kDrainTime = 1500;     // time for queues to drain and the next report to arrive
constexpr Millis kRankPassTime = 2000;  // admission.cpp: kOrderWindow
constexpr double kPeakTarget = 0.95;    // target, as a share of the peak load answered in time
constexpr double kMissedCutShare =
    0.75;  // share of the missed requests that is cut if the peak gives no target
constexpr double kSomeRoom = 0.08;
constexpr double kAmpleRoom = 0.25;
constexpr double kJitter =
    0.2;  // of a hold, so that processes without a plan do not start trials at the same time

}  // namespace

double taken_at(const std::vector<double>& offered, double level) {
  double sum = 0;
  for (std::size_t rank = 0; rank < offered.size(); ++rank) {
    sum += offered[rank] * std::clamp(level - static_cast<double>(rank), 0.0, 1.0);
  }
  return sum;
}

double level_for(const std::vector<double>& offered, double taken) {
  double left = taken;
  for (std::size_t rank = 0; rank < offered.size(); ++rank) {
    if (offered[rank] > 0 && left < offered[rank]) return static_cast<double>(rank) + left / offered[rank];
    left -= offered[rank];
  }
  return static_cast<double>(offered.size());
}

Controller::Controller(int ranks, const CutOffSettings& settings, std::uint64_t seed)
    : ranks_(std::max(1, ranks)),
      settings_(settings),
      random_(seed),
      level_(ranks_),
      step_up_(settings.min_step),
      hold_(settings.hold) {}

void Controller::adopt(double level, Millis now) {
  level_ = std::clamp(level, 0.0, static_cast<double>(ranks_));
  trial_ = false;
  hold_ = settings_.hold;
  step_up_ = settings_.min_step;
  moved_at_ = now;
  in_force_at_ = settled_at_ = short_since_ = -1;
  settle_ = kDrainTime;
  ++counters_.adopted;
}

double Controller::observe(const FleetView& view, bool in_force, Millis now) {
  const Millis since = observed_at_ < 0 ? 0 : now - observed_at_;
  observed_at_ = now;
  peak_in_time_ = std::max(view.in_time, peak_in_time_ * std::exp(-since / kCapacityDecay));
  if (since > kMaxObservationGap) short_since_ = -1, in_force_at_ = settled_at_ = -1;
  if (moved_at_ >= 0 && !settled(in_force, now)) return level_;
  if (!view.is_short) short_since_ = -1;
  if (view.is_short && short_since_ < 0) short_since_ = now;

  const bool open = level_ >= ranks_;
  if (short_since_ >= 0 && now - short_since_ >= (open ? settings_.confirm : settings_.watch)) {
    if (!trial_) {
      tighten(view, now);
      return level_;
    }
    ++counters_.stepped_back;
    hold_ = std::min(2 * hold_, settings_.max_hold) * (1 + kJitter * random_.unit());
    step_up_ = settings_.min_step;
    move(level_before_trial_, view, now);
    return level_;
  }
  if (trial_ && now - settled_at_ >= settings_.trial) {
    trial_ = false;
    hold_ = settings_.hold * (1 + kJitter * random_.unit());
    step_up_ = std::min(2 * step_up_, settings_.max_step_up);
  }
  if (open || trial_ || view.is_short) return level_;
  // A failed trial has shown that a little room is not enough.
  const bool failed = hold_ > settings_.hold * (1 + kJitter);
  const bool ample = view.room > (failed ? kAmpleRoom : kSomeRoom);
  if (now - moved_at_ >= (ample ? std::min(hold_, settings_.brief_hold) : hold_)) loosen(view, now);
  return level_;
}

bool Controller::settled(bool in_force, Millis now) {
  if (settled_at_ >= 0) return true;
  if (in_force_at_ < 0 && (in_force || now - moved_at_ >= kMaxPropagation)) in_force_at_ = now;
  if (in_force_at_ < 0 || now - in_force_at_ < settle_) return false;
  settled_at_ = now;
  return true;
}

void Controller::move(double level, const FleetView& view, Millis now) {
  // Counts the rank boundaries that are passed; ranks without requests do not count.
  int passed = 0;
  const double from = std::min(level, level_);
  const double to = std::max(level, level_);
  for (int rank = static_cast<int>(from) + 1; rank < to; ++rank) {
    if (view.offered[static_cast<std::size_t>(rank)] > 0) ++passed;
  }
  settle_ = kDrainTime + passed * kRankPassTime;
  level_ = level;
  trial_ = false;
  moved_at_ = now;
  in_force_at_ = settled_at_ = short_since_ = -1;
}

void Controller::tighten(const FleetView& view, Millis now) {
  const double offered = taken_at(view.offered, ranks_);
  const double taken = taken_at(view.offered, level_);
  // The recent peak is the target if it is below the admitted load. If not, the fleet's capacity has fallen,
  // and only the misses tell by how much.
  double fall = settings_.min_step;
  if (peak_in_time_ > 0 && peak_in_time_ < view.taken) fall = 1 - kPeakTarget * peak_in_time_ / view.taken;
  if (fall < 2 * settings_.min_step) fall = kMissedCutShare * view.missed;
  fall = std::clamp(fall, settings_.min_step, settings_.max_step_down);
  peak_in_time_ = std::min(peak_in_time_, view.taken * (1 - fall));  // still short: the peak was too high
  const double aim = std::max(taken * (1 - fall), settings_.min_admitted * offered);
  if (aim >= taken) return;
  ++counters_.tightened;
  hold_ = settings_.hold * (1 + kJitter * random_.unit());
  step_up_ = settings_.min_step;
  move(level_for(view.offered, aim), view, now);
}

void Controller::loosen(const FleetView& view, Millis now) {
  const double offered = taken_at(view.offered, ranks_);
  const double taken = taken_at(view.offered, level_);
  // Uses all of the room: admitted clients stop retrying, so they take less than they offered.
  const double fits = view.room < 1 ? view.room / (1 - view.room) : settings_.max_step_up;
  const double rise = std::clamp(std::max(step_up_, fits), settings_.min_step, settings_.max_step_up);
  const double aim = std::max(taken * (1 + rise), settings_.min_admitted * offered);
  level_before_trial_ = level_;
  ++counters_.loosened;
  move(std::max(level_, level_for(view.offered, aim)), view, now);
  trial_ = true;
}

}  // namespace shorelead::plans
