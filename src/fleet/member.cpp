#include "fleet/member.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shorelead::fleet {

namespace {

constexpr double kIdlePutsPerLease = 3;     // writes of the record per lease length if nothing changed
constexpr double kChangedPutsPerLease = 5;  // writes per lease length if the reported traffic changed ...
constexpr Millis kMaxPutInterval = 1000;    // ... but at least one per this time
constexpr double kRelativeChange = 0.25;    // relative change of a value that counts as a change
constexpr double kRetriesPerLease = 20;     // retries of a lost or refused call per lease length
constexpr double kLoweringPutsPerLease =
    25;  // writes per lease length that only lower: units in use end one by one

bool differ(const std::map<std::string, double>& reported, const std::map<std::string, double>& now) {
  return std::any_of(now.begin(), now.end(), [&reported](const auto& figure) {
    const auto it = reported.find(figure.first);
    const double before = it == reported.end() ? 0 : it->second;
    return std::abs(figure.second - before) > kRelativeChange * std::max(before, figure.second);
  });
}

}  // namespace

Member::Member(std::string name, std::string zone, double weight, const Sharing& sharing,
               std::vector<Budget> budgets, std::uint64_t seed)
    : zone_(std::move(zone)),
      weight_(weight),
      sharing_(sharing),
      random_(seed),
      lease_(sharing),
      held_(sharing, std::move(budgets)),
      id_{std::move(name), 0} {}

Millis Member::valid_until() const {
  if (phase_ != Phase::kIn || put_begun_ < 0) return 0;
  return std::min(lease_.held_since(), put_begun_) + valid_for(sharing_);
}

Millis Member::lease_until() const {
  return lease_.lease() == 0 || phase_ == Phase::kEnding ? 0 : lease_.held_since() + valid_for(sharing_);
}

MemberOut Member::handle(const MemberEvent& event, Millis now) {
  now_ = std::max(now_, now);
  const bool over = phase_ == Phase::kIn && now_ >= valid_until();
  if (over && !lapsed_) ++counters_.lapsed;
  lapsed_ = over;
  std::visit([this](const auto& it) { on(it); }, event);
  MemberOut out;
  call_store(out);
  out.publish = held_.take_changed();
  out.incarnation = incarnation();
  out.valid_until = valid_until();
  out.next = next();
  return out;
}

bool Member::observe(const Header& header, Millis begun) {
  const History::Observation observed = history_.observe(header, begun, now_);
  if (observed == History::Observation::kLost) {
    ++counters_.histories;
    plan_.reset();
    plan_modified_ = 0;
    plan_passed_ = false;
    if (phase_ != Phase::kLeft) end_incarnation();
  }
  return observed == History::Observation::kSame || observed == History::Observation::kFirst;
}

void Member::on(const Granted& event) {
  if (!lease_.answers(event.call) || !observe(event.header, lease_.begun())) return;
  lease_.granted(event.lease);
  id_.incarnation = random_.next();
  phase_ = Phase::kNaming;
  put_again_ = now_;
}

void Member::on(const Renewed& event) {
  if (!lease_.answers(event.call) || !observe(event.header, lease_.begun())) return;
  if (event.there) {
    lease_.renewed();
  } else {
    lease_.gone();
    end_incarnation();
  }
}

void Member::on(const Revoked& event) {
  if (!lease_.answers(event.call)) return;
  lease_.gone();
  observe(event.header, lease_.begun());
}

void Member::on(const MemberCallLost& event) {
  if (lease_.answers(event.call)) {
    ++counters_.lost;
    lease_.lost(now_);
  }
  if (put_call_.ended_by(event.call)) {
    ++counters_.lost;
    put_again_ = now_ + sharing_.lease / kRetriesPerLease;
  }
}

void Member::on(const RecordPut& event) {
  if (!put_call_.ended_by(event.call) || !observe(event.header, put_call_.begun)) return;
  if (!event.done) return refused(event);
  record_ = std::move(put_);
  modified_ = event.revision;
  put_begun_ = put_call_.begun;
  if (phase_ == Phase::kNaming) joined();
  // If a newer plan was seen meanwhile, its lowering is already applied and only that plan may raise.
  if (put_epoch_ != 0 && plan_ && plan_->epoch == put_epoch_) {
    ++counters_.epochs;
    held_.put_in_force(*plan_, id_);
  }
}

// A record with this incarnation was written by a call whose answer was lost, or that was executed twice.
void Member::refused(const RecordPut& event) {
  ++counters_.refused;
  put_again_ = now_ + sharing_.lease / kRetriesPerLease;
  const bool ours = event.own && event.own->id == id_;
  if (ours && event.own_modified == modified_) {
    if (plan_ && plan_->epoch == put_epoch_) plan_passed_ = true;
  } else if (ours) {
    record_ = *event.own;
    modified_ = event.own_modified;
    put_again_ = now_;
    if (phase_ == Phase::kNaming) joined();
  } else if (phase_ == Phase::kNaming) {
    ++counters_.name_taken;
    put_again_ = now_ + std::min(sharing_.lease / kChangedPutsPerLease, kMaxPutInterval);
  } else {
    end_incarnation();
  }
}

void Member::on(const PlanSeen& event) {
  observe(event.header, event.begun);
  const std::uint64_t in_force = std::max(held_.epoch(), record_.epoch);
  if (event.header.cluster != history_.cluster() || event.plan.history != history_.cluster() ||
      event.modified < plan_modified_ || event.plan.epoch < in_force) {
    ++counters_.older;
    return;
  }
  if (event.modified == plan_modified_ || event.plan.epoch == in_force) return;
  plan_ = event.plan;
  plan_modified_ = event.modified;
  plan_passed_ = false;
  if (phase_ == Phase::kIn) held_.lower_to(*plan_, id_);
}

void Member::on(const Leave&) {
  leaving_ = true;
  if (phase_ == Phase::kNoLease) phase_ = Phase::kLeft;
  if (phase_ != Phase::kLeft) end_incarnation();
}

void Member::joined() {
  phase_ = Phase::kIn;
  ++counters_.joined;
}

void Member::end_incarnation() {
  if (phase_ == Phase::kIn) ++counters_.ended;
  if (phase_ != Phase::kNoLease) phase_ = Phase::kEnding;
  lease_.forget_call();
  put_call_ = {};
  put_epoch_ = 0;
  record_ = {};
  modified_ = 0;
  put_begun_ = -1;
  held_.end();
}

void Member::call_store(MemberOut& out) {
  if (phase_ == Phase::kEnding && held_.over() && lease_.lease() == 0 && !lease_.in_flight()) {
    phase_ = leaving_ ? Phase::kLeft : Phase::kNoLease;
  }
  switch (phase_) {
    case Phase::kLeft:
      return;
    case Phase::kEnding:
      // The record has to exist while any of it is in use.
      if (lease_.lease() != 0) lease_.call(!held_.over(), calls_, now_, out.calls);
      return;
    case Phase::kNoLease:
    case Phase::kNaming:
    case Phase::kIn:
      lease_.call(true, calls_, now_, out.calls);
      if (phase_ != Phase::kNoLease) put_record(out);
  }
}

void Member::put_record(MemberOut& out) {
  if (put_call_.call != 0 || now_ < put_again_) return;
  const bool acknowledges =
      phase_ == Phase::kIn && plan_ && !plan_passed_ && plan_->epoch > held_.epoch() && held_.slots_quiet();
  Parts parts = record_.in_force;
  if (acknowledges) {
    parts = held_.parts_to_record(held_.own_parts(*plan_, id_), record_.in_force);
  } else if (held_.applied_by_traffic()) {
    parts = held_.parts_to_record(held_.parts(), record_.in_force);
  }
  const bool lowers = parts != record_.in_force && now_ >= lower_again_;
  const TrafficState& traffic = held_.traffic();
  // The loads of the ranks signal overload, so they are reported as often as allowed.
  const bool changed = !traffic.ranks.empty() || differ(record_.demand, traffic.demand) ||
                       differ(record_.spent, traffic.spent);
  if (!acknowledges && !lowers && modified_ != 0 && now_ < (changed ? put_soon_ : put_due_)) return;

  put_ = {id_,         zone_,          weight_,       acknowledges ? plan_->epoch : record_.epoch,
          parts,       traffic.demand, traffic.spent, traffic.ranks,
          traffic.room};
  put_epoch_ = acknowledges ? plan_->epoch : 0;
  put_call_ = {++calls_, now_};
  const double spread = 0.9 + 0.1 * random_.unit();
  put_due_ = now_ + sharing_.lease / kIdlePutsPerLease * spread;
  put_soon_ = now_ + std::min(sharing_.lease / kChangedPutsPerLease, kMaxPutInterval) * spread;
  lower_again_ = now_ + sharing_.lease / kLoweringPutsPerLease;
  out.calls.push_back(PutRecord{calls_, lease_.lease(), put_, modified_, acknowledges ? plan_modified_ : 0});
}

Millis Member::next() const {
  if (phase_ == Phase::kLeft) return now_ + sharing_.lease;
  if (phase_ == Phase::kEnding) return now_ + sharing_.lease / kRetriesPerLease;
  Millis next = now_ + sharing_.lease / kRetriesPerLease;
  if (!lease_.in_flight()) next = std::min(next, std::max(lease_.due(), now_));
  if (put_call_.call == 0) next = std::min(next, std::max({put_due_, put_again_, now_}));
  return next;
}

}  // namespace shorelead::fleet
