#include "ways.h"

#include <algorithm>

#include "plans/level.h"

namespace shorelead::plans::sim {
namespace {

// DAGOR: each second, where overloaded, 5% less than is taken, else 1% more, by the histogram of ranks. AIMD:
// 30% less, or 2% of what is offered more. Overloaded: over `missed` of what all records say was taken.
class EachSecond : public fleet::PlanShaper {
 public:
  EachSecond(int ranks, double fall, double rise, bool of_offered, double missed)
      : ranks_(ranks), fall_(fall), rise_(rise), of_offered_(of_offered), missed_(missed), level_(ranks) {}

  void shape(fleet::Plan& next, const fleet::Plan*, const std::vector<fleet::Record>& records,
             Millis now) override {
    next.cut_off = cut_at(level_, ranks_);
    if (now - at_ < 1000) return;
    at_ = now;
    std::vector<double> offered(static_cast<std::size_t>(ranks_), 0);
    double taken = 0;
    double failed = 0;
    for (const fleet::Record& record : records) {
      for (const auto& [rank, load] : record.ranks) {
        offered[static_cast<std::size_t>(rank)] += load.offered;
        taken += load.taken;
        failed += load.failed;
      }
    }
    const double all = taken_at(offered, ranks_);
    const double now_taken = taken_at(offered, level_);
    const bool overloaded = failed > missed_ * taken && taken > 0;
    const double more = of_offered_ ? rise_ * all : rise_ * std::max(now_taken, 0.01 * all);
    if (all > 0) level_ = level_for(offered, overloaded ? now_taken * (1 - fall_) : now_taken + more);
    next.cut_off = cut_at(level_, ranks_);
  }

 private:
  const int ranks_;
  const double fall_;
  const double rise_;
  const bool of_offered_;
  const double missed_;
  double level_;
  Millis at_ = 0;
};

}  // namespace

std::unique_ptr<fleet::PlanShaper> shaper_of(Way way, int ranks, const CutOffSettings& settings,
                                             std::uint64_t seed) {
  const double missed = settings.shortage.missed;
  if (way == Way::kFleet) return std::make_unique<CutOffShaper>(ranks, settings, seed);
  if (way == Way::kDagor) return std::make_unique<EachSecond>(ranks, 0.05, 0.01, false, missed);
  if (way == Way::kAimd) return std::make_unique<EachSecond>(ranks, 0.3, 0.02, true, missed);
  return nullptr;
}

}  // namespace shorelead::plans::sim
