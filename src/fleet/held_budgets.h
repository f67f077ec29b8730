// The part of the plan that this process's traffic may use now. Owns the snapshot in force. `lower_to` lowers
// shares and closes slots as soon as a plan is seen; only `put_in_force` raises shares and opens slots, after
// the record in the store contains them. Nothing is reported as released while the traffic may still use it.
// No I/O.
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

  // This process's shares in the plan, reduced where its own configuration has a smaller total than the plan
  // (`usable` in division.h).
  Parts own_parts(const Plan& plan, const MemberId& member) const;
  // What the record has to report while the traffic may spend `parts`. For a concurrency budget this is at
  // least the units still in use beyond the reserve, up to the amount in `recorded`: a unit is released only
  // when its use ends.
  Parts parts_to_record(const Parts& parts, const Parts& recorded) const;
  const Parts& parts() const { return now_.parts; }
  // Whether the traffic applies the last snapshot.
  bool applied_by_traffic() const { return traffic_.generation >= now_.generation; }
  bool slots_quiet() const { return applied_by_traffic() && traffic_.slots_quiet; }
  // After `end`: whether the traffic no longer uses any concurrency unit or slot.
  bool over() const;

  std::uint64_t epoch() const { return now_.epoch; }
  bool holds() const { return now_.incarnation != 0; }
  const TrafficState& traffic() const { return traffic_; }
  std::shared_ptr<const Snapshot> take_changed();  // null: unchanged since the last call

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
