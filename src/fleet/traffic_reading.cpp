#include "fleet/traffic_reading.h"

#include <algorithm>
#include <cmath>

namespace shorelead::fleet {
namespace {

constexpr Millis kShortWindow = 1000;   // window for rates that have changed
constexpr Millis kLongWindow = 8000;    // window for rates whose change random variation explains
constexpr double kDeviations = 3;       // threshold, in standard deviations of a Poisson count
constexpr Millis kSampleInterval = 90;  // minimum time between samples
constexpr std::size_t kCellsPerRank = 5;

}  // namespace

TrafficReading::TrafficReading(const std::vector<Budget>& budgets, const TrafficCells& cells)
    : budgets_(budgets), cells_(cells), longest_(kLongWindow) {
  for (const Budget& budget : budgets_) longest_ = std::max(longest_, budget.window);
}

TrafficReading::Sample TrafficReading::sample(Millis now) const {
  Sample sample{now, {}, {}};
  for (const BudgetCells& cell : cells_.budgets) {
    sample.counts.push_back(static_cast<double>(cell.asked.get()));
    sample.counts.push_back(static_cast<double>(cell.spent.get()));
    const bool lately = now - cell.peak_at.get() < kShortWindow;
    sample.in_use.push_back(std::max(cell.in_use.get(), lately ? cell.peak.get() : 0.0));
  }
  for (const RankCells& cell : cells_.loads) {
    for (const auto* const one : {&cell.offered, &cell.taken, &cell.in_time, &cell.refused, &cell.failed}) {
      sample.counts.push_back(static_cast<double>(one->get()));
    }
  }
  return sample;
}

const TrafficReading::Sample& TrafficReading::before(Millis now, Millis span) const {
  auto found = samples_.begin();
  for (auto it = samples_.begin(); it != samples_.end() && it->at <= now - span; ++it) found = it;
  return *found;
}

// Random counts vary by about their square root. If the last second differs from the long span by no more
// than that, the rate of the long span is used. Otherwise every division would follow random variation, and
// what it moves is unusable while it moves.
double TrafficReading::smoothed_rate(std::size_t count, const Sample& latest) const {
  const auto rate = [&](const Sample& old, double& seconds) {
    seconds = std::max(latest.at - old.at, kShortWindow / 2) / 1000;
    return (latest.counts[count] - old.counts[count]) / seconds;
  };
  double seconds = 0;
  const double longer = rate(before(latest.at, kLongWindow), seconds);
  const double now = rate(before(latest.at, kShortWindow), seconds);
  return std::abs(now - longer) * seconds <= kDeviations * std::sqrt(longer * seconds) + 1 ? longer : now;
}

TrafficState TrafficReading::read(Millis now) {
  TrafficState state;
  // Read first: everything read after it was written in that generation or a later one.
  state.generation = cells_.generation.load_acquire();
  state.slots_quiet = cells_.slots_quiet.load_acquire() >= state.generation;
  state.room = cells_.room.get();
  const Sample latest = sample(now);
  if (samples_.empty() || now - samples_.back().at >= kSampleInterval) samples_.push_back(latest);
  while (samples_.size() > 2 && samples_[1].at <= now - longest_) samples_.pop_front();

  for (std::size_t n = 0; n < budgets_.size(); ++n) {
    const Budget& budget = budgets_[n];
    state.in_use[budget.name] = cells_.budgets[n].beyond_reserve.get();
    const bool windowed = budget.kind == BudgetKind::kAttempts;
    const Sample& old = before(now, windowed ? budget.window : kShortWindow);
    const double asked = latest.counts[2 * n] - old.counts[2 * n];
    const double spent = latest.counts[2 * n + 1] - old.counts[2 * n + 1];
    if (windowed) {
      state.demand[budget.name] = asked;
      state.spent[budget.name] = spent;
    } else if (budget.kind == BudgetKind::kRate) {
      state.demand[budget.name] = smoothed_rate(2 * n, latest);
      state.spent[budget.name] = smoothed_rate(2 * n + 1, latest);
    } else {
      double most = latest.in_use[n];
      for (const Sample& sample : samples_) {
        if (sample.at >= now - kShortWindow) most = std::max(most, sample.in_use[n]);
      }
      // The concurrent use if all requests had been admitted; with none admitted, every request counts.
      const double wanted = spent > 0 ? most * asked / spent : most + asked;
      state.demand[budget.name] = std::min(wanted, std::max(budget.whole, most));
      state.spent[budget.name] = most;
    }
  }
  const Sample& old = before(now, kShortWindow);
  const double seconds = std::max(now - old.at, kShortWindow / 2) / 1000;
  for (std::size_t n = 0; n < cells_.ranks.size(); ++n) {
    const std::size_t at = 2 * budgets_.size() + kCellsPerRank * n;
    const auto rate = [&](std::size_t k) { return (latest.counts[at + k] - old.counts[at + k]) / seconds; };
    state.ranks[cells_.ranks[n]] = {rate(0), rate(1), rate(2), rate(3), rate(4)};
  }
  return state;
}

}  // namespace shorelead::fleet
