#include "fleet/model_store.h"

#include <algorithm>
#include <vector>

namespace shorelead::fleet::model {

void Store::drop(std::int64_t lease) {
  state.leases.erase(lease);
  ++state.revision;
  std::erase_if(state.records, [&](const auto& stored) { return stored.second.lease == lease; });
  if (state.leader && state.leader->lease == lease) state.leader.reset();
}

void Store::expire(Millis now) {
  std::vector<std::int64_t> over;
  for (const auto& [id, lease] : state.leases) {
    if (lease.ends <= now) over.push_back(id);
  }
  for (const std::int64_t id : over) drop(id);
}

void Store::restore(std::size_t back, Millis now) {
  if (copies_.empty()) return;
  const std::uint64_t revision = state.revision;
  state = copies_[copies_.size() - 1 - std::min(back, copies_.size() - 1)];
  state.cluster = ++clusters_;
  // After a restart the store extends all leases by their whole length. Revisions continue from those of the
  // copy, at most.
  for (auto& [id, lease] : state.leases) lease.ends = now + lease.length;
  state.revision = std::min(state.revision, revision);
  copies_.clear();
}

void Store::spoil_plan(StoreState::Text text) {
  if (!state.plan) return;
  state.plan_text = text;
  state.plan_modified = ++state.revision;
}

std::optional<MemberEvent> Store::execute(const MemberCall& call, Millis now, std::uint64_t knows) {
  expire(now);
  if (const auto* grant = std::get_if<GrantLease>(&call)) {
    state.leases[++leases_] = {grant->length, now + grant->length};
    return Granted{grant->call, leases_, header()};
  }
  if (const auto* renew = std::get_if<RenewLease>(&call)) {
    const auto it = state.leases.find(renew->lease);
    const bool there = it != state.leases.end();
    if (there) it->second.ends = now + it->second.length;
    return Renewed{renew->call, there, header()};
  }
  if (const auto* revoke = std::get_if<RevokeLease>(&call)) {
    if (state.leases.contains(revoke->lease)) drop(revoke->lease);
    return Revoked{revoke->call, header()};
  }
  const auto& wanted = std::get<PutRecord>(call);
  return put(wanted, knows);
}

MemberEvent Store::put(const PutRecord& call, std::uint64_t knows) {
  const auto it = state.records.find(call.record.id.name);
  const std::uint64_t modified = it == state.records.end() ? 0 : it->second.modified;
  // An expired lease has removed all its keys; the store reports that, and the client reads the current
  // state.
  const bool lease = state.leases.contains(call.lease);
  const bool plan = call.plan_modified == 0 || call.plan_modified == state.plan_modified;
  if (!lease || modified != call.modified || !plan) {
    RecordPut answer{call.call, false, 0, {}, modified, state.plan_modified, header()};
    if (it != state.records.end()) answer.own = it->second.record;
    return answer;
  }
  ++state.revision;
  state.records[call.record.id.name] = {call.record, state.revision, call.lease, knows != state.cluster};
  return RecordPut{call.call, true, state.revision, {}, 0, 0, header()};
}

bool Store::done(const PutPlan& call) {
  if (!state.leader || state.leader->created != call.fence || state.plan_modified != call.modified) {
    return false;
  }
  state.plan = call.plan;
  state.plan_text = StoreState::Text::kGood;
  state.plan_modified = ++state.revision;
  if (call.plan.fence != state.leader->created) ++unfenced;
  return true;
}

std::optional<PlannerEvent> Store::execute(const PlannerCall& call, Millis now) {
  expire(now);
  if (const auto* campaign = std::get_if<Campaign>(&call)) {
    if (!state.leader) {
      if (!state.leases.contains(campaign->lease)) return std::nullopt;
      state.leader = {campaign->value, ++state.revision, campaign->lease};
    }
    return CampaignResult{campaign->call, state.leader->created, state.leader->value, header()};
  }
  if (const auto* read = std::get_if<ReadAll>(&call)) {
    AllRead answer{};
    answer.call = read->call;
    answer.planner_created = state.leader ? state.leader->created : 0;
    answer.plan_modified = state.plan_modified;
    if (state.plan && state.plan_text == StoreState::Text::kGood) answer.plan = state.plan;
    answer.newer_form = state.plan_text == StoreState::Text::kNewer;
    for (const auto& [name, stored] : state.records) answer.records.push_back(stored.record);
    answer.header = header();
    return answer;
  }
  if (const auto* wanted = std::get_if<PutPlan>(&call)) {
    const bool written = done(*wanted);
    return PlanPut{wanted->call, written, header()};
  }
  const auto& resign = std::get<Resign>(call);
  if (state.leader && state.leader->created == resign.fence) {
    state.leader.reset();
    ++state.revision;
  }
  return Resigned{resign.call, header()};
}

}  // namespace shorelead::fleet::model
