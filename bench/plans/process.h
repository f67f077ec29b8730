// One simulated process: what it counts, reports and admits by. Its decisions are src/plans' own.
#pragma once

#include <memory>
#include <vector>

#include "order_watch.h"
#include "plans/admission.h"
#include "plans/cutoff.h"
#include "sim.h"

namespace shorelead::plans::sim {

inline const Order& order() {
  static const Order made(kPlans, kWorths);
  return made;
}

class Process {
 public:
  Process(int number, const Scenario& scenario, Way way, const CutOffSettings& settings, std::uint64_t seed)
      : number_(number), scenario_(scenario), way_(way), settings_(settings), seed_(seed) {
    start(0);
  }

  bool alive = true;
  int incarnation = 0;
  Millis free_at = 0;  // it passes requests on one after another
  Millis valid_until = 0;
  fleet::CutOff cut;        // what the traffic goes by
  fleet::CutOff told;       // of the last plan
  std::uint64_t epoch = 0;  // of it
  void sees(double room) { room_sum_ += room, ++room_looks_; }

  void start(Millis now) {
    free_at = now;
    cut = told = {};
    epoch = 0;
    valid_until = 0;
    loads_.clear();
    watch.forget();
    admission_ = std::make_unique<Admission>(order(), AdmissionSettings{});
    local_ = std::make_unique<LocalShedder>(order().ranks(), settings_, seed_ + 1000 * number_ + incarnation);
  }

  Verdict admit(int plan, int request_class, double coin, Millis now) {
    const int rank = order().rank_of(plan, request_class);
    ++loads_[rank].offered;
    const Verdict verdict =
        way_ == Way::kNone ? Verdict{} : admission_->decide(cut, plan, request_class, coin, now);
    ++(verdict.taken() ? loads_[rank].taken : loads_[rank].refused);
    watch.see(rank, verdict, now);
    return verdict;
  }
  void ended(int rank, bool in_time) { ++(in_time ? loads_[rank].in_time : loads_[rank].failed); }

  // The last second's record; begins anew.
  fleet::Record report(Random& random) {
    fleet::Record record;
    record.id.name.push_back(static_cast<char>('A' + number_));
    record.zone.push_back(static_cast<char>('a' + number_ % scenario_.zones));
    record.epoch = epoch;
    record.ranks = loads_;
    record.room = room_looks_ ? room_sum_ / room_looks_ : 1;
    record.room = std::clamp(record.room * (0.95 + 0.1 * random.unit()), 0.0, 1.0);
    loads_.clear();
    room_sum_ = room_looks_ = 0;
    return record;
  }
  void sheds(const fleet::Record& own, Millis now) {
    if (way_ == Way::kNone) return;
    local_->set_plan_cut_off(told, valid_until);
    cut = local_->in_force(own.ranks, own.room, now);
  }
  const Controller& alone() const { return local_->controller(); }

  // What the store is told.
  fleet::Record told_of(fleet::Record record) const {
    if (number_ >= scenario_.liars) return record;
    for (auto& [rank, load] : record.ranks) {
      if (scenario_.liars_deny) {
        load = {load.offered, load.offered, load.offered, 0, 0};
      } else {
        load = {1000 * load.offered, 1000 * load.offered, 0, 0, 1000 * load.offered};
      }
    }
    record.room = scenario_.liars_deny ? 1 : 0;
    return record;
  }

  OrderWatch watch;

 private:
  const int number_;
  const Scenario& scenario_;
  const Way way_;
  const CutOffSettings settings_;
  const std::uint64_t seed_;
  double room_sum_ = 0;
  int room_looks_ = 0;
  std::map<int, fleet::RankLoad> loads_;
  std::unique_ptr<Admission> admission_;
  std::unique_ptr<LocalShedder> local_;
};

}  // namespace shorelead::plans::sim
