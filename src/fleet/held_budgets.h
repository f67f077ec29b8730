// The part of the plan that this process's traffic may use now. No I/O. Owns the snapshot in force: a plan
// seen lowers shares and closes slots in it immediately; only `put_in_force` raises and opens, once the
// record in the store has it. Nothing is reported as released while the traffic may still use it.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "fleet/member_events.h"
#include "fleet/plan.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

class HeldBudgets {
 public:
  HeldBudgets(const Sharing& sharing, std::vector<Budget> budgets);

  void set_traffic(const TrafficState& traffic) { traffic_ = traffic; }
  void lower_to(const Plan& plan, const MemberId& member);
  void put_in_force(const Plan& plan, const MemberId& member);
  void end();  // afterwards nothing is in force

  // The plan's shares as limited by the own configuration: never more than the smaller of the two totals.
  Parts own_parts(const Plan& plan, const MemberId& member) const;
  // What the record must report while `parts` may be newly spent: for a concurrency budget also the units
  // still in use, as far as the record had them; they are released only when they have ended.
  Parts parts_to_record(const Parts& parts, const Parts& recorded) const;
  const Parts& parts() const { return now_.parts; }
  // Whether the traffic applies the last snapshot.
  bool applied_by_traffic() const { return traffic_.generation >= now_.generation; }
  bool slots_quiet() const { return applied_by_traffic() && traffic_.slots_quiet; }
  // After `end`: whether the traffic no longer uses any of it.
  bool over() const;

  std::uint64_t epoch() const { return now_.epoch; }
  bool holds() const { return now_.incarnation != 0; }
  const TrafficState& traffic() const { return traffic_; }
  std::shared_ptr<const Snapshot> take_changed();  // null: unchanged

 private:
  friend struct ModelEye;

  void publish(Snapshot next);
  double in_use(const Budget& budget) const;

  const Sharing sharing_;
  const std::vector<Budget> budgets_;
  Snapshot now_;
  std::shared_ptr<const Snapshot> changed_;
  TrafficState traffic_;
};

}  // namespace shorelead::fleet
