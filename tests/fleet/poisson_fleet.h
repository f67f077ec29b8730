// A fleet in simulated time with Poisson arrivals and the real shares, readings, records and plans. Records
// and plans arrive some milliseconds late, and no message is lost. Measures how much of a budget is admitted;
// the upper bound is checked by the model.
#pragma once

#include <algorithm>
#include <memory>
#include <vector>

#include "base/random.h"
#include "fleet/division.h"
#include "fleet/share.h"
#include "fleet/traffic_reading.h"

namespace shorelead::fleet {

class PoissonFleet {
 public:
  // `demand`: of each process, per second.
  PoissonFleet(const Budget& budget, std::vector<double> demand, std::uint64_t seed)
      : budgets_{budget}, random_(seed) {
    sharing_.most_processes = static_cast<int>(demand.size());
    for (const double d : demand) processes_.push_back(std::make_unique<Process>(budgets_, sharing_, d));
    for (std::size_t n = 0; n < processes_.size(); ++n) {
      Record& record = processes_[n]->record;
      record.id = {"p" + std::to_string(n), 1};
      processes_[n]->put_due = 1000 * random_.unit();
      processes_[n]->next = wait(processes_[n]->demand);
    }
  }

  // Runs for `span` ms; returns the number of admitted requests.
  int run(Millis span) {
    const int before = spent_;
    for (const Millis end = now_ + span; now_ < end; now_ += kStep) {
      if (now_ >= plan_due_) plan();
      for (auto& p : processes_) step(*p);
    }
    return spent_ - before;
  }
  int plans() const { return plans_; }
  double whole() const { return budgets_[0].whole; }

 private:
  static constexpr Millis kStep = 10;
  static constexpr Millis kPlanDelay = 20;  // delay of a plan to the processes

  struct Process {
    Process(const std::vector<Budget>& budgets, const Sharing& sharing, double demand)
        : demand(demand), share(reserve_of(budgets[0], sharing)), cells(1, {}), reading(budgets, cells) {}
    double demand;
    RateShare share;
    TrafficCells cells;
    TrafficReading reading;
    Record record;  // as stored
    TrafficState state;
    Millis next = 0;
    Millis read_due = 0;
    Millis put_due = 0;
    std::uint64_t epoch = 0;  // of the plan in force
  };

  Millis wait(double demand) { return demand <= 0 ? 1e12 : -1000 / demand * std::log(1 - random_.unit()); }

  void plan() {
    plan_due_ = now_ + sharing_.plan_every;
    PlannerInput input{budgets_, sharing_, standing_, {}, 1, true, false, {}};
    for (const auto& p : processes_) input.records.push_back(p->record);
    const auto turn = static_cast<std::uint64_t>(now_ / sharing_.plan_every);
    std::optional<Plan> next = next_plan(input, turn);
    if (!next) return;
    ++plans_;
    standing_ = std::move(next);
    plan_at_ = now_;
    if (unfinished(*standing_, budgets_, sharing_)) plan_due_ = now_ + sharing_.plan_every / 4;
  }

  void step(Process& p) {
    for (; p.next < now_ + kStep; p.next += wait(p.demand)) {
      p.cells.budgets[0].asked.add(1);
      if (p.share.spend(p.next, 1e12) != Spent::kYes) continue;
      p.cells.budgets[0].spent.add(1);
      ++spent_;
    }
    if (now_ >= p.read_due) {
      p.state = p.reading.read(now_);
      p.read_due = now_ + 100;
    }
    const bool fresh = standing_ && standing_->epoch != p.epoch && now_ >= plan_at_ + kPlanDelay;
    if (!fresh && now_ < p.put_due) return;
    p.record.demand = p.state.demand;
    p.record.spent = p.state.spent;
    p.put_due = now_ + 1000 * (0.9 + 0.1 * random_.unit());
    if (!fresh) return;
    p.epoch = p.record.epoch = standing_->epoch;
    p.record.in_force = usable(standing_->shares[p.record.id.text()], standing_->wholes, budgets_);
    p.share.set(p.record.in_force[budgets_[0].name], now_ + kStep, 1e12);
  }

  std::vector<Budget> budgets_;
  Sharing sharing_;
  Random random_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::optional<Plan> standing_;
  Millis now_ = 1;
  Millis plan_due_ = 0;
  Millis plan_at_ = 0;
  int spent_ = 0;
  int plans_ = 0;
};

}  // namespace shorelead::fleet
