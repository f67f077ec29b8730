#include "affinity/bindings.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace shorelead::affinity {
namespace {

// A rejection sent at the deadline itself reaches a slow client too late.
constexpr Millis kRejectionMargin = 100;
constexpr double kRejectionMarginShare = 0.25;

// Returns how long a request may wait: the rejection has to reach its client before the deadline.
Millis waits_until(Millis until, Millis now) {
  return until - std::min(kRejectionMargin, kRejectionMarginShare * std::max(0.0, until - now));
}

}  // namespace

Bindings::Bindings(std::vector<Rule> rules, int max_waiting)
    : rules_(std::move(rules)), wait_queue_(max_waiting), owners_(rules_.size()), counters_(rules_.size()) {
  for (const Rule& rule : rules_) names_.push_back(map_name(rule));
}

void Bindings::apply_snapshot(const fleet::Snapshot& snapshot, Millis now) {
  incarnation_ = snapshot.incarnation;
  std::vector<std::string> units;
  std::unordered_map<std::string, int> known;
  const auto index_of = [&](const std::string& unit) {
    if (unit.empty()) return -1;
    const auto [it, fresh] = known.try_emplace(unit, static_cast<int>(units.size()));
    if (fresh) units.push_back(unit);
    return it->second;
  };
  for (std::size_t n = 0; n < rules_.size(); ++n) {
    const auto map = snapshot.affinity.find(names_[n]);
    owners_[n] = map == snapshot.affinity.end() ? SlotOwners() : SlotOwners(map->second, index_of);
  }
  closing_ = 0;
  for (Place& place : places_) {
    if (place.state != State::kInFlight) continue;
    place.unit = index_of(units_[static_cast<std::size_t>(place.unit)]);
    const SlotOwners& owners = owners_[place.match.rule];
    const SlotOwner owner = owners.any() ? owners.at(place.match.key) : SlotOwner{};
    const bool open = place.incarnation == incarnation_ && owner.open && owner.unit == place.unit;
    // A cancelled request stays closed, also if its slot goes back to its backend.
    if (!open && place.closed_at < 0) place.closed_at = now;
    if (open && !place.cancelled) place.closed_at = -1;
    closing_ += place.closed_at >= 0;
  }
  units_ = std::move(units);
}

Bindings::Evaluation Bindings::evaluate(const RuleMatch& match, bool valid, Millis waited,
                                        const StatusLookup& status_of) const {
  const Rule& rule = rules_[match.rule];
  const SlotOwners& owners = owners_[match.rule];
  RoutingQuery one;
  one.rule = &rule;
  one.keyed = match.keyed;
  one.mapped = owners.any();
  one.valid = valid && incarnation_ != 0;
  one.waited = waited;
  if (!one.keyed || !one.mapped) return {choose(one), nullptr};
  one.owner = owners.at(match.key);
  if (one.owner.unit < 0) return {choose(one), nullptr};
  const std::string& unit = units_[static_cast<std::size_t>(one.owner.unit)];
  const std::optional<UnitStatus> status = status_of(rule.to, unit);
  if (!status) one.owner.unit = -1;
  one.status = status.value_or(UnitStatus::kGone);
  return {choose(one), &unit};
}

Bindings::RoutingResult Bindings::routing_result(const RuleMatch& match, const Evaluation& evaluation,
                                                 int place) {
  const Decision& d = evaluation.decision;
  if (d.action != RoutingAction::kWait) ++counters_[match.rule].by[static_cast<std::size_t>(d.reason)];
  const bool there = d.action == RoutingAction::kOnly || d.action == RoutingAction::kPrefer;
  return {d.action, d.reason, there ? evaluation.unit : nullptr, rules_[match.rule].to, place};
}

Bindings::RoutingResult Bindings::arrive(std::uint32_t request, const RuleMatch& match, bool valid,
                                         Millis until, Millis now, const StatusLookup& status_of) {
  Evaluation evaluation = evaluate(match, valid, 0, status_of);
  Decision& decision = evaluation.decision;
  until = waits_until(until, now);
  if (decision.action == RoutingAction::kWait && now >= until) decision.action = RoutingAction::kRefuse;
  if (decision.action == RoutingAction::kWait && !wait_queue_.enter())
    decision = {RoutingAction::kRefuse, -1, RoutingReason::kQueueFull};
  if (decision.action != RoutingAction::kWait && decision.action != RoutingAction::kOnly)
    return routing_result(match, evaluation, -1);
  const int n = take_place();
  Place& place = at(n);
  place.request = request;
  place.match = match;
  if (decision.action == RoutingAction::kWait) {
    place.state = State::kWaiting;
    place.since = now;
    place.until = until;
    waiting_.push_back(n);
    ++counters_[match.rule].waited;
  } else {
    place.state = State::kInFlight;
    place.unit = decision.unit;
    place.incarnation = incarnation_;
  }
  return routing_result(match, evaluation, n);
}

Bindings::RoutingResult Bindings::reconsider(int n, bool valid, Millis now, const StatusLookup& status_of) {
  Place& place = at(n);
  Evaluation evaluation = evaluate(place.match, valid, now - place.since, status_of);
  Decision& decision = evaluation.decision;
  if (decision.action == RoutingAction::kWait && now >= place.until) decision.action = RoutingAction::kRefuse;
  if (decision.action == RoutingAction::kWait) return routing_result(place.match, evaluation, n);
  const RuleMatch match = place.match;
  leave(n);
  if (decision.action != RoutingAction::kOnly) return routing_result(match, evaluation, -1);
  // Takes the entry that leave() has just released.
  const int taken = take_place();
  Place& renewed = at(taken);
  renewed.state = State::kInFlight;
  renewed.request = place.request;
  renewed.match = match;
  renewed.unit = decision.unit;
  renewed.incarnation = incarnation_;
  return routing_result(match, evaluation, taken);
}

void Bindings::leave(int n) {
  if (at(n).state != State::kWaiting) return;
  std::erase(waiting_, n);
  wait_queue_.leave();
  give_place(n);
}

bool Bindings::may_send(int n, bool valid) const {
  const Place& place = places_[static_cast<std::size_t>(n)];
  return place.state == State::kInFlight && valid && place.incarnation == incarnation_ &&
         place.closed_at < 0 && !place.cancelled;
}

void Bindings::release(int n) {
  if (at(n).state != State::kInFlight) return;
  closing_ -= at(n).closed_at >= 0;
  give_place(n);
}

std::vector<int> Bindings::cancel_due(bool valid, Millis now, const StatusLookup& status_of) {
  std::vector<int> due;
  for (std::size_t n = 0; n < places_.size(); ++n) {
    Place& place = places_[n];
    if (place.state != State::kInFlight || place.cancelled) continue;
    const bool current = valid && place.incarnation == incarnation_;
    if (current && place.closed_at < 0) continue;
    const Rule& rule = rules_[place.match.rule];
    InFlight in_flight;
    in_flight.count = 1;
    in_flight.closed_for = place.closed_at < 0 ? 0 : now - place.closed_at;
    in_flight.drains =
        status_of(rule.to, units_[static_cast<std::size_t>(place.unit)]) == UnitStatus::kDraining;
    in_flight.valid = current;
    if (closing(rule, in_flight) != Closing::kCancel) continue;
    place.cancelled = true;
    ++counters_[place.match.rule].cancelled;
    due.push_back(static_cast<int>(n));
  }
  return due;
}

int Bindings::take_place() {
  if (free_.empty()) {
    free_.push_back(static_cast<int>(places_.size()));
    places_.emplace_back();
  }
  const int place = free_.back();
  free_.pop_back();
  return place;
}

void Bindings::give_place(int place) {
  const std::uint32_t request = at(place).request;
  at(place) = Place{};
  at(place).request = request;
  free_.push_back(place);
}

}  // namespace shorelead::affinity
