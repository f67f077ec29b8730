// What of a plan a process's traffic may use now, and what of it is really given up. Pure. Owns the snapshot
// in force: a plan seen lowers and closes in it at once; raising and opening is asked for by `put_in_force`
// alone, once the record in the store says so. It must never say that something is free that the traffic may
// still use.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "fleet/member_events.h"
#include "fleet/plan.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

class Holding {
 public:
  Holding(const Sharing& sharing, std::vector<Budget> budgets);

  void told(const TrafficState& traffic) { traffic_ = traffic; }
  void lower_to(const Plan& plan, const MemberId& member);
  void put_in_force(const Plan& plan, const MemberId& member);
  void end();  // nothing is in force

  // What a process's own file allows of a plan's shares: never beyond the smaller of the two wholes.
  Parts own_parts(const Plan& plan, const MemberId& member) const;
  // What its record has to say while `parts` are what it may newly spend: of a count at once also what is in
  // use, as far as the record had it; it is free only when that has ended.
  Parts may_use(const Parts& parts, const Parts& recorded) const;
  const Parts& parts() const { return now_.parts; }
  // The traffic goes by the last snapshot.
  bool followed() const { return traffic_.generation >= now_.generation; }
  bool slots_quiet() const { return followed() && traffic_.slots_quiet; }
  // After `end`: nothing of it is used any more.
  bool over() const;

  std::uint64_t epoch() const { return now_.epoch; }
  bool holds() const { return now_.incarnation != 0; }
  const TrafficState& traffic() const { return traffic_; }
  std::shared_ptr<const Snapshot> take_news();  // null: the same as before

 private:
  friend struct ModelEye;

  void publish(Snapshot next);
  double in_use(const Budget& budget) const;

  const Sharing sharing_;
  const std::vector<Budget> budgets_;
  Snapshot now_;
  std::shared_ptr<const Snapshot> news_;
  TrafficState traffic_;
};

}  // namespace shorelead::fleet
