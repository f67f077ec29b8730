#include "affinity/choice.h"

namespace shorelead::affinity {
namespace {

// `prefer` never blocks a request: where the rule cannot be kept, the policy selects the backend.
Decision preferred(const RoutingQuery& query) {
  // A wrong owner costs a warm cache at worst. Rules 2 to 4 are kept by the policy among all backends.
  if (!query.mapped) return {RoutingAction::kFree, -1, RoutingReason::kNoMap};
  if (!query.valid) return {RoutingAction::kFree, -1, RoutingReason::kNotValid};
  if (query.repeat_at >= 0 && query.repeat_at != query.owner.unit)
    return {RoutingAction::kFree, -1, RoutingReason::kRepeat};
  if (!query.owner.open) return {RoutingAction::kFree, -1, RoutingReason::kClosed};
  if (query.owner.unit < 0) return {RoutingAction::kFree, -1, RoutingReason::kUnknown};
  switch (query.status) {
    case UnitStatus::kReady:
      return {RoutingAction::kPrefer, query.owner.unit, RoutingReason::kKept};
    case UnitStatus::kFull:
      return {RoutingAction::kFree, -1, RoutingReason::kFull};
    case UnitStatus::kDraining:
      return {RoutingAction::kFree, -1, RoutingReason::kDraining};
    case UnitStatus::kGone:
      return {RoutingAction::kFree, -1, RoutingReason::kGone};
  }
  return {RoutingAction::kFree, -1, RoutingReason::kUnknown};
}

Decision wait(const RoutingQuery& query, RoutingReason reason) {
  return {query.waited < query.rule->wait ? RoutingAction::kWait : RoutingAction::kRefuse, -1, reason};
}

Decision required(const RoutingQuery& query) {
  // Does not wait: the plan may be missing for long, and the queue would grow meanwhile.
  if (!query.mapped) return {RoutingAction::kRefuse, -1, RoutingReason::kNoMap};
  if (!query.valid) return {RoutingAction::kRefuse, -1, RoutingReason::kNotValid};
  // Does not wait: a later snapshot brings the earlier unit back only by chance, and sent to any other unit
  // the request may run twice.
  if (query.repeat_at >= 0 && query.repeat_at != query.owner.unit)
    return {RoutingAction::kRefuse, -1, RoutingReason::kRepeat};
  if (!query.owner.open) return wait(query, RoutingReason::kClosed);
  if (query.owner.unit < 0) return wait(query, RoutingReason::kUnknown);
  switch (query.status) {
    case UnitStatus::kReady:
      return {RoutingAction::kOnly, query.owner.unit, RoutingReason::kKept};
    case UnitStatus::kFull:
      return wait(query, RoutingReason::kFull);
    case UnitStatus::kDraining:
      return wait(query, RoutingReason::kDraining);
    case UnitStatus::kGone:
      if (query.rule->on_loss == OnLoss::kRefuse) return {RoutingAction::kRefuse, -1, RoutingReason::kGone};
      return wait(query, RoutingReason::kGone);
  }
  return {RoutingAction::kRefuse, -1, RoutingReason::kUnknown};
}

}  // namespace

SlotOwners::SlotOwners(const fleet::SlotMap& map, const std::function<int(const std::string&)>& index_of) {
  owners_.reserve(map.slots.size());
  for (const fleet::Slot& slot : map.slots) owners_.push_back({index_of(slot.backend), slot.open});
}

Decision choose(const RoutingQuery& query) {
  if (!query.keyed) return {RoutingAction::kFree, -1, RoutingReason::kNoKey};
  return query.rule->must ? required(query) : preferred(query);
}

Closing closing(const Rule& rule, const InFlight& in_flight) {
  if (!rule.must || in_flight.count <= 0) return Closing::kQuiet;
  if (!in_flight.valid) return Closing::kCancel;
  const bool at_once = rule.on_drain == OnDrain::kMove && in_flight.drains;
  return at_once || in_flight.closed_for >= rule.finish ? Closing::kCancel : Closing::kInFlight;
}

}  // namespace shorelead::affinity
