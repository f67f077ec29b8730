#include "affinity/choice.h"

namespace shorelead::affinity {
namespace {

// `prefer` never blocks a request: where the rule cannot be kept, the policy selects the backend.
Decision preferred(const Ask& ask) {
  // A wrong owner costs a warm cache at worst. Rules 2 to 4 are kept by the policy among all backends.
  if (!ask.mapped) return {Go::kFree, -1, Why::kNoMap};
  if (!ask.valid) return {Go::kFree, -1, Why::kNotValid};
  if (ask.repeat_at >= 0 && ask.repeat_at != ask.seat.unit) return {Go::kFree, -1, Why::kRepeat};
  if (!ask.seat.open) return {Go::kFree, -1, Why::kClosed};
  if (ask.seat.unit < 0) return {Go::kFree, -1, Why::kUnknown};
  switch (ask.standing) {
    case Standing::kReady:
      return {Go::kPrefer, ask.seat.unit, Why::kKept};
    case Standing::kFull:
      return {Go::kFree, -1, Why::kFull};
    case Standing::kDraining:
      return {Go::kFree, -1, Why::kDraining};
    case Standing::kGone:
      return {Go::kFree, -1, Why::kGone};
  }
  return {Go::kFree, -1, Why::kUnknown};
}

Decision wait(const Ask& ask, Why why) {
  return {ask.waited < ask.rule->wait ? Go::kWait : Go::kRefuse, -1, why};
}

Decision required(const Ask& ask) {
  // Does not wait: the plan may be missing for long, and the queue would grow meanwhile.
  if (!ask.mapped) return {Go::kRefuse, -1, Why::kNoMap};
  if (!ask.valid) return {Go::kRefuse, -1, Why::kNotValid};
  // Does not wait: a later snapshot brings the earlier unit back only by chance, and sent to any other unit
  // the request may run twice.
  if (ask.repeat_at >= 0 && ask.repeat_at != ask.seat.unit) return {Go::kRefuse, -1, Why::kRepeat};
  if (!ask.seat.open) return wait(ask, Why::kClosed);
  if (ask.seat.unit < 0) return wait(ask, Why::kUnknown);
  switch (ask.standing) {
    case Standing::kReady:
      return {Go::kOnly, ask.seat.unit, Why::kKept};
    case Standing::kFull:
      return wait(ask, Why::kFull);
    case Standing::kDraining:
      return wait(ask, Why::kDraining);
    case Standing::kGone:
      if (ask.rule->on_loss == OnLoss::kRefuse) return {Go::kRefuse, -1, Why::kGone};
      return wait(ask, Why::kGone);
  }
  return {Go::kRefuse, -1, Why::kUnknown};
}

}  // namespace

Seats::Seats(const fleet::SlotMap& map, const std::function<int(const std::string&)>& index_of) {
  seats_.reserve(map.slots.size());
  for (const fleet::Slot& slot : map.slots) seats_.push_back({index_of(slot.backend), slot.open});
}

Decision choose(const Ask& ask) {
  if (!ask.keyed) return {Go::kFree, -1, Why::kNoKey};
  return ask.rule->must ? required(ask) : preferred(ask);
}

Closing closing(const Rule& rule, const UnderWay& under_way) {
  if (!rule.must || under_way.count <= 0) return Closing::kQuiet;
  if (!under_way.valid) return Closing::kCallOff;
  const bool at_once = rule.on_drain == OnDrain::kMove && under_way.drains;
  return at_once || under_way.closed_for >= rule.finish ? Closing::kCallOff : Closing::kUnderWay;
}

}  // namespace shorelead::affinity
