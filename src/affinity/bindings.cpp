#include "affinity/bindings.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace shorelead::affinity {
namespace {

constexpr Millis kToAnswer = 100;  // a rejection sent at the deadline itself reaches a slow client too late
constexpr double kToAnswerPart = 0.25;

// Returns how long a request may wait: the rejection has to reach its client before the deadline.
Millis waits_until(Millis until, Millis now) {
  return until - std::min(kToAnswer, kToAnswerPart * std::max(0.0, until - now));
}

}  // namespace

Bindings::Bindings(std::vector<Rule> rules, int most_waiting)
    : rules_(std::move(rules)), room_(most_waiting), seats_(rules_.size()), counters_(rules_.size()) {
  for (const Rule& rule : rules_) names_.push_back(map_name(rule));
}

void Bindings::take_up(const fleet::Snapshot& snapshot, Millis now) {
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
    seats_[n] = map == snapshot.affinity.end() ? SlotOwners() : SlotOwners(map->second, index_of);
  }
  closing_ = 0;
  for (Place& place : places_) {
    if (place.state != State::kUnderWay) continue;
    place.unit = index_of(units_[static_cast<std::size_t>(place.unit)]);
    const SlotOwners& seats = seats_[place.found.rule];
    const SlotOwner seat = seats.any() ? seats.at(place.found.key) : SlotOwner{};
    const bool open = place.incarnation == incarnation_ && seat.open && seat.unit == place.unit;
    // A cancelled request stays closed, also if its slot goes back to its backend.
    if (!open && place.closed_at < 0) place.closed_at = now;
    if (open && !place.called_off) place.closed_at = -1;
    closing_ += place.closed_at >= 0;
  }
  units_ = std::move(units);
}

Bindings::Answer Bindings::ask(const RuleMatch& found, bool valid, Millis waited, const Look& look) const {
  const Rule& rule = rules_[found.rule];
  const SlotOwners& seats = seats_[found.rule];
  RoutingQuery one;
  one.rule = &rule;
  one.keyed = found.keyed;
  one.mapped = seats.any();
  one.valid = valid && incarnation_ != 0;
  one.waited = waited;
  if (!one.keyed || !one.mapped) return {choose(one), nullptr};
  one.seat = seats.at(found.key);
  if (one.seat.unit < 0) return {choose(one), nullptr};
  const std::string& unit = units_[static_cast<std::size_t>(one.seat.unit)];
  const std::optional<UnitStatus> standing = look(rule.to, unit);
  if (!standing) one.seat.unit = -1;
  one.standing = standing.value_or(UnitStatus::kGone);
  return {choose(one), &unit};
}

Bindings::Said Bindings::said(const RuleMatch& found, const Answer& answer, int place) {
  const Decision& d = answer.decision;
  if (d.go != RoutingAction::kWait) ++counters_[found.rule].by[static_cast<std::size_t>(d.why)];
  const bool there = d.go == RoutingAction::kOnly || d.go == RoutingAction::kPrefer;
  return {d.go, d.why, there ? answer.unit : nullptr, rules_[found.rule].to, place};
}

Bindings::Said Bindings::arrive(std::uint32_t request, const RuleMatch& found, bool valid, Millis until,
                                Millis now, const Look& look) {
  Answer answer = ask(found, valid, 0, look);
  Decision& decision = answer.decision;
  until = waits_until(until, now);
  if (decision.go == RoutingAction::kWait && now >= until) decision.go = RoutingAction::kRefuse;
  if (decision.go == RoutingAction::kWait && !room_.enter())
    decision = {RoutingAction::kRefuse, -1, RoutingReason::kQueueFull};
  if (decision.go != RoutingAction::kWait && decision.go != RoutingAction::kOnly)
    return said(found, answer, -1);
  const int n = take_place();
  Place& place = at(n);
  place.request = request;
  place.found = found;
  if (decision.go == RoutingAction::kWait) {
    place.state = State::kWaiting;
    place.since = now;
    place.until = until;
    waiting_.push_back(n);
    ++counters_[found.rule].waited;
  } else {
    place.state = State::kUnderWay;
    place.unit = decision.unit;
    place.incarnation = incarnation_;
  }
  return said(found, answer, n);
}

Bindings::Said Bindings::again(int n, bool valid, Millis now, const Look& look) {
  Place& place = at(n);
  Answer answer = ask(place.found, valid, now - place.since, look);
  Decision& decision = answer.decision;
  if (decision.go == RoutingAction::kWait && now >= place.until) decision.go = RoutingAction::kRefuse;
  if (decision.go == RoutingAction::kWait) return said(place.found, answer, n);
  const RuleMatch found = place.found;
  leave(n);
  if (decision.go != RoutingAction::kOnly) return said(found, answer, -1);
  // Takes the entry that leave() has just released.
  const int taken = take_place();
  Place& now_there = at(taken);
  now_there.state = State::kUnderWay;
  now_there.request = place.request;
  now_there.found = found;
  now_there.unit = decision.unit;
  now_there.incarnation = incarnation_;
  return said(found, answer, taken);
}

void Bindings::leave(int n) {
  if (at(n).state != State::kWaiting) return;
  std::erase(waiting_, n);
  room_.leave();
  give_place(n);
}

bool Bindings::may_send(int n, bool valid) const {
  const Place& place = places_[static_cast<std::size_t>(n)];
  return place.state == State::kUnderWay && valid && place.incarnation == incarnation_ &&
         place.closed_at < 0 && !place.called_off;
}

void Bindings::over(int n) {
  if (at(n).state != State::kUnderWay) return;
  closing_ -= at(n).closed_at >= 0;
  give_place(n);
}

std::vector<int> Bindings::call_off(bool valid, Millis now, const Look& look) {
  std::vector<int> now_over;
  for (std::size_t n = 0; n < places_.size(); ++n) {
    Place& place = places_[n];
    if (place.state != State::kUnderWay || place.called_off) continue;
    const bool its = valid && place.incarnation == incarnation_;
    if (its && place.closed_at < 0) continue;
    const Rule& rule = rules_[place.found.rule];
    UnderWay under_way;
    under_way.count = 1;
    under_way.closed_for = place.closed_at < 0 ? 0 : now - place.closed_at;
    under_way.drains = look(rule.to, units_[static_cast<std::size_t>(place.unit)]) == UnitStatus::kDraining;
    under_way.valid = its;
    if (closing(rule, under_way) != Closing::kCallOff) continue;
    place.called_off = true;
    ++counters_[place.found.rule].called_off;
    now_over.push_back(static_cast<int>(n));
  }
  return now_over;
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
