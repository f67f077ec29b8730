// The store and the planner of a simulated fleet: records come late and run out, plans are numbered and kept.
// Owns those; who hears of them when is the play's.
#pragma once

#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "plans/level.h"
#include "sim.h"
#include "ways.h"

namespace shorelead::plans::sim {

inline constexpr Millis kLease = 5000;
inline constexpr Millis kValid = 4800;

class Control {
 public:
  Control(const Scenario& scenario, std::unique_ptr<fleet::PlanShaper> shaper, int ranks)
      : shaper_(std::move(shaper)), ranks_(ranks), records_(static_cast<std::size_t>(scenario.processes)) {}

  // A record on its way; what `arrived` is told later.
  int sent(fleet::Record record) {
    sent_.push_back(std::move(record));
    return static_cast<int>(sent_.size()) - 1;
  }
  void arrived(int process, int which, Millis now) {
    records_[static_cast<std::size_t>(process)] = {sent_[static_cast<std::size_t>(which)], now + kLease};
  }

  // The planner's look: whether there is a new plan.
  bool look(Millis now, Result& result) {
    if (!shaper_) return false;
    std::vector<fleet::Record> all;
    for (const auto& [record, until] : records_) {
      if (until > now) all.push_back(record);
    }
    const fleet::Plan* const standing = plans_.empty() ? nullptr : &plans_.back();
    fleet::Plan next = standing ? *standing : fleet::Plan{};
    ++next.epoch;
    shaper_->shape(next, standing, all, now);
    if (standing && next.cut_off == standing->cut_off) return false;
    if (standing) {
      ++result.changes;
      result.levels.emplace_back(now, level_of(next.cut_off, ranks_));
    }
    plans_.push_back(next);
    return true;
  }
  int newest() const { return static_cast<int>(plans_.size()) - 1; }
  const fleet::Plan& plan(int which) const { return plans_[static_cast<std::size_t>(which)]; }

 private:
  std::unique_ptr<fleet::PlanShaper> shaper_;
  const int ranks_;
  std::vector<std::pair<fleet::Record, Millis>> records_;
  std::vector<fleet::Record> sent_;
  std::vector<fleet::Plan> plans_;
};

}  // namespace shorelead::plans::sim
