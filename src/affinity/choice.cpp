#include "affinity/choice.h"

namespace shorelead::affinity {
namespace {

// `prefer` never blocks a request: where the rule cannot be kept, the policy selects the backend.
Decision preferred(const RoutingQuery& ask) {
  // A wrong owner costs a warm cache at worst. Rules 2 to 4 are kept by the policy among all backends.
  if (!ask.mapped) return {RoutingAction::kFree, -1, RoutingReason::kNoMap};
  if (!ask.valid) return {RoutingAction::kFree, -1, RoutingReason::kNotValid};
  if (ask.repeat_at >= 0 && ask.repeat_at != ask.seat.unit)
    return {RoutingAction::kFree, -1, RoutingReason::kRepeat};
  if (!ask.seat.open) return {RoutingAction::kFree, -1, RoutingReason::kClosed};
  if (ask.seat.unit < 0) return {RoutingAction::kFree, -1, RoutingReason::kUnknown};
  switch (ask.standing) {
    case UnitStatus::kReady:
      return {RoutingAction::kPrefer, ask.seat.unit, RoutingReason::kKept};
    case UnitStatus::kFull:
      return {RoutingAction::kFree, -1, RoutingReason::kFull};
    case UnitStatus::kDraining:
      return {RoutingAction::kFree, -1, RoutingReason::kDraining};
    case UnitStatus::kGone:
      return {RoutingAction::kFree, -1, RoutingReason::kGone};
  }
  return {RoutingAction::kFree, -1, RoutingReason::kUnknown};
}

Decision wait(const RoutingQuery& ask, RoutingReason why) {
  return {ask.waited < ask.rule->wait ? RoutingAction::kWait : RoutingAction::kRefuse, -1, why};
}

Decision required(const RoutingQuery& ask) {
  // Does not wait: the plan may be missing for long, and the queue would grow meanwhile.
  if (!ask.mapped) return {RoutingAction::kRefuse, -1, RoutingReason::kNoMap};
  if (!ask.valid) return {RoutingAction::kRefuse, -1, RoutingReason::kNotValid};
  // Does not wait: a later snapshot brings the earlier unit back only by chance, and sent to any other unit
  // the request may run twice.
  if (ask.repeat_at >= 0 && ask.repeat_at != ask.seat.unit)
    return {RoutingAction::kRefuse, -1, RoutingReason::kRepeat};
  if (!ask.seat.open) return wait(ask, RoutingReason::kClosed);
  if (ask.seat.unit < 0) return wait(ask, RoutingReason::kUnknown);
  switch (ask.standing) {
    case UnitStatus::kReady:
      return {RoutingAction::kOnly, ask.seat.unit, RoutingReason::kKept};
    case UnitStatus::kFull:
      return wait(ask, RoutingReason::kFull);
    case UnitStatus::kDraining:
      return wait(ask, RoutingReason::kDraining);
    case UnitStatus::kGone:
      if (ask.rule->on_loss == OnLoss::kRefuse) return {RoutingAction::kRefuse, -1, RoutingReason::kGone};
      return wait(ask, RoutingReason::kGone);
  }
  return {RoutingAction::kRefuse, -1, RoutingReason::kUnknown};
}

}  // namespace

SlotOwners::SlotOwners(const fleet::SlotMap& map, const std::function<int(const std::string&)>& index_of) {
  seats_.reserve(map.slots.size());
  for (const fleet::Slot& slot : map.slots) seats_.push_back({index_of(slot.backend), slot.open});
}

Decision choose(const RoutingQuery& ask) {
  if (!ask.keyed) return {RoutingAction::kFree, -1, RoutingReason::kNoKey};
  return ask.rule->must ? required(ask) : preferred(ask);
}

Closing closing(const Rule& rule, const UnderWay& under_way) {
  if (!rule.must || under_way.count <= 0) return Closing::kQuiet;
  if (!under_way.valid) return Closing::kCallOff;
  const bool at_once = rule.on_drain == OnDrain::kMove && under_way.drains;
  return at_once || under_way.closed_for >= rule.finish ? Closing::kCallOff : Closing::kUnderWay;
}

}  // namespace shorelead::affinity
