#include "plans/cutoff.h"

#include "plans/level.h"

namespace shorelead::plans {
namespace {

constexpr double kMinAppliedShare = 0.8;  // share of the processes; a few stragglers do not delay a move
constexpr Millis kWriteTimeout = 5000;    // a plan not written within this time is taken as lost

}  // namespace

CutOffShaper::CutOffShaper(int ranks, const CutOffSettings& settings, std::uint64_t seed)
    : ranks_(ranks), settings_(settings), controller_(ranks, settings, seed) {}

void CutOffShaper::shape(fleet::Plan& next, const fleet::Plan* standing,
                         const std::vector<fleet::Record>& records, Millis now) {
  if (standing) {
    const bool ours = standing->cut_off == requested_;
    const bool on_its_way =
        standing->cut_off == previous_ && epoch_ == 0 && now - requested_at_ < kWriteTimeout;
    if (ours && epoch_ == 0) epoch_ = standing->epoch;
    if (!ours && !on_its_way) {
      requested_ = previous_ = standing->cut_off;
      epoch_ = standing->epoch;
      controller_.adopt(level_of(requested_, ranks_), now);
    }
  }
  const FleetView view = view_of(records, ranks_, settings_.shortage);
  const fleet::CutOff cut = cut_at(controller_.observe(view, in_force(records), now), ranks_);
  if (cut != requested_) {
    previous_ = standing ? standing->cut_off : requested_;
    requested_ = cut;
    requested_at_ = now;
    epoch_ = 0;
  }
  next.cut_off = requested_;
}

bool CutOffShaper::in_force(const std::vector<fleet::Record>& records) const {
  if (epoch_ == 0) return false;
  std::size_t have = 0;
  for (const fleet::Record& record : records) have += record.epoch >= epoch_ ? 1 : 0;
  return static_cast<double>(have) >= kMinAppliedShare * static_cast<double>(records.size());
}

LocalShedder::LocalShedder(int ranks, const CutOffSettings& settings, std::uint64_t seed)
    : ranks_(ranks), settings_(settings), controller_(ranks, settings, seed), own_record_(1) {}

void LocalShedder::set_plan_cut_off(const fleet::CutOff& cut, Millis valid_until) {
  plan_cut_off_ = cut;
  valid_until_ = valid_until;
}

fleet::CutOff LocalShedder::in_force(const std::map<int, fleet::RankLoad>& ranks, double room, Millis now) {
  if (now < valid_until_) {
    without_plan_ = false;
    return plan_cut_off_;
  }
  if (!without_plan_) {
    without_plan_ = true;
    controller_.adopt(level_of(plan_cut_off_, ranks_), now);
  }
  own_record_[0].ranks = ranks;
  own_record_[0].room = room;
  return cut_at(controller_.observe(view_of(own_record_, ranks_, settings_.shortage), true, now), ranks_);
}

}  // namespace shorelead::plans
