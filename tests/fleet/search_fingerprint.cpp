#include "fleet/search_fingerprint.h"

#include <algorithm>
#include <cmath>

namespace shorelead::fleet {

namespace model {

namespace {

class Hasher {
 public:
  explicit Hasher(const Node& node) : node_(node) {}

  void number(std::uint64_t value) {
    fingerprint_.a = Random(fingerprint_.a ^ value).next();
    fingerprint_.b = Random(fingerprint_.b + value * 0x9e3779b97f4a7c15ULL).next();
  }
  void text(const std::string& text) {
    number(text.size());
    for (const char c : text) number(static_cast<unsigned char>(c));
  }
  void moment(Millis at) {
    const double steps = std::ceil((at - node_.now) / kStep);
    number(static_cast<std::uint64_t>(std::clamp(steps, -5.0, 15.0) + 5));
  }
  void parts(const Parts& parts) {
    for (const auto& [name, part] : parts) number(static_cast<std::uint64_t>(part.amount * 4 + 1));
    number(99);
  }
  // A member id: the process, and whether it is the current incarnation.
  void id(const std::string& id);
  void record(const Record& record) {
    number(record.epoch);
    parts(record.in_force);
    for (const auto& [name, demand] : record.demand) number(static_cast<std::uint64_t>(demand));
  }
  void plan(const Plan& plan) {
    number(plan.epoch);
    for (const auto& [member, shares] : plan.shares) {
      id(member);
      parts(shares);
    }
    for (const auto& [rule, map] : plan.affinity) slots(map);
  }
  void slots(const SlotMap& map) {
    for (const Slot& slot : map.slots) {
      text(slot.open ? slot.backend : "-" + slot.to);
      number(slot.open ? 0 : slot.since);
    }
  }
  void snapshot(const Snapshot& snapshot) {
    number(snapshot.epoch);
    number(snapshot.incarnation != 0);
    parts(snapshot.parts);
    for (const auto& [rule, map] : snapshot.affinity) slots(map);
  }
  Fingerprint fingerprint() const { return fingerprint_; }

  const Node& node_;

 private:
  Fingerprint fingerprint_;
};

}  // namespace

}  // namespace model

struct ModelEye {
  static std::uint64_t incarnation(const Member& member) { return member.id_.incarnation; }

  static void member(const model::Cell& cell, model::Hasher& hasher) {
    const Member& it = cell.core;
    const model::StoreState& store = hasher.node_.store->state;
    const auto stored = store.records.find(it.id_.name);
    hasher.number(static_cast<std::uint64_t>(it.phase_));
    hasher.number(static_cast<std::uint64_t>(it.lease_.lease_));
    hasher.moment(it.lease_.held_since_);
    hasher.moment(it.lease_.due_);
    hasher.number(it.lease_.underway_.call != 0 ? 1 + it.lease_.revoking_ : 0);
    hasher.snapshot(it.held_.now_);
    hasher.number(it.held_.applied_by_traffic());
    hasher.number(it.id_.incarnation != 0);
    hasher.record(it.record_);
    hasher.number(
        it.modified_ == 0 ? 2 : stored != store.records.end() && stored->second.modified == it.modified_);
    hasher.moment(it.put_begun_);
    hasher.number(it.put_call_.call != 0);
    if (it.put_call_.call != 0) {
      hasher.record(it.put_);
      hasher.number(it.put_epoch_);
    }
    hasher.moment(it.put_due_);
    hasher.moment(it.put_soon_);
    hasher.moment(it.put_again_);
    hasher.moment(it.lower_again_);
    hasher.number(it.plan_modified_ == store.plan_modified);
    if (it.plan_) hasher.plan(*it.plan_);
    hasher.number(it.plan_passed_);
  }

  static void planner(const model::Cell& cell, model::Hasher& hasher) {
    const Planner& it = cell.plans;
    const model::StoreState& store = hasher.node_.store->state;
    hasher.number(static_cast<std::uint64_t>(it.lease_));
    hasher.moment(it.lease_until_);
    hasher.number(it.fence_ == 0 ? 2 : store.leader && store.leader->created == it.fence_);
    hasher.moment(it.campaign_at_);
    hasher.moment(it.read_at_);
    hasher.number(it.unfinished_);
    hasher.moment(it.history_.since());
    hasher.number(it.underway_.call != 0);
    hasher.number(it.put_.has_value());
    if (it.put_) put(*it.put_, hasher);
  }

  static void put(const PutPlan& put, model::Hasher& hasher) {
    const model::StoreState& store = hasher.node_.store->state;
    hasher.plan(put.plan);
    hasher.number(put.modified == store.plan_modified);
    hasher.number(store.leader && store.leader->created == put.fence);
  }

  // A message is fingerprinted by its effect, not by its call number.
  static std::uint64_t message(const model::Message& message, const model::Node& node) {
    model::Hasher hasher(node);
    const model::StoreState& store = node.store->state;
    hasher.number(static_cast<std::uint64_t>(message.process));
    hasher.number(message.given_up);
    hasher.moment(message.begun);
    hasher.number(message.call.index());
    std::visit([&](const auto& call) { hasher.number(call.index()); }, message.call);
    if (message.answer) {
      hasher.number(7);
      answer(*message.answer, hasher);
    } else if (const auto* call = std::get_if<MemberCall>(&message.call)) {
      if (const auto* wanted = std::get_if<PutRecord>(call)) {
        const auto stored = store.records.find(wanted->record.id.name);
        hasher.id(wanted->record.id.text());
        hasher.record(wanted->record);
        hasher.number(wanted->modified == 0
                          ? 2
                          : stored != store.records.end() && stored->second.modified == wanted->modified);
        hasher.number(wanted->plan_modified == 0 ? 2 : wanted->plan_modified == store.plan_modified);
        hasher.number(static_cast<std::uint64_t>(wanted->lease));
      }
    } else if (const auto* wanted = std::get_if<PutPlan>(&std::get<PlannerCall>(message.call))) {
      put(*wanted, hasher);
    }
    return hasher.fingerprint().a;
  }

  static void answer(const model::AnyEvent& event, model::Hasher& hasher) {
    const model::StoreState& store = hasher.node_.store->state;
    if (const auto* member = std::get_if<MemberEvent>(&event)) {
      hasher.number(member->index());
      if (const auto* seen = std::get_if<PlanSeen>(member)) hasher.plan(seen->plan);
      if (const auto* renewed = std::get_if<Renewed>(member)) hasher.number(renewed->there);
      if (const auto* put = std::get_if<RecordPut>(member)) {
        hasher.number(put->done);
        const auto stands = [&](std::uint64_t modified) {
          return std::any_of(store.records.begin(), store.records.end(),
                             [&](const auto& stored) { return stored.second.modified == modified; });
        };
        hasher.number(stands(put->done ? put->revision : put->own_modified));
        if (put->own) {
          hasher.id(put->own->id.text());
          hasher.record(*put->own);
        }
        hasher.number(put->plan_modified == store.plan_modified);
      }
      return;
    }
    const auto& planner = std::get<PlannerEvent>(event);
    hasher.number(100 + planner.index());
    if (const auto* result = std::get_if<CampaignResult>(&planner)) {
      hasher.number(store.leader && store.leader->created == result->created);
      hasher.text(result->value.substr(0, 1));
    }
    if (const auto* put = std::get_if<PlanPut>(&planner)) hasher.number(put->done);
    if (const auto* read = std::get_if<AllRead>(&planner)) {
      hasher.number(store.leader && store.leader->created == read->planner_created);
      hasher.number(read->plan_modified == store.plan_modified);
      if (read->plan) hasher.plan(*read->plan);
      for (const Record& record : read->records) {
        hasher.id(record.id.text());
        hasher.record(record);
      }
    }
  }
};

namespace model {

void Hasher::id(const std::string& id) {
  text(id.substr(0, 1));
  const auto cell = static_cast<std::size_t>(id[0] - 'A');
  const std::string now = std::to_string(ModelEye::incarnation(node_.cells[cell]->core));
  number(id.substr(2) == now);
}

Fingerprint fingerprint_of(const Node& node) {
  Hasher hasher(node);
  hasher.number(static_cast<std::uint64_t>(node.now / kStep));
  hasher.number(static_cast<std::uint64_t>(node.faults));
  for (const Shared<Cell>& held : node.cells) {
    const Cell& cell = *held;
    hasher.number(cell.there + 2 * cell.paused + 4 * cell.slow + 8 * cell.lags);
    if (!cell.there) continue;
    ModelEye::member(cell, hasher);
    ModelEye::planner(cell, hasher);
    hasher.snapshot(*cell.taken);
    hasher.number(cell.taken == cell.latest);
    hasher.number(cell.incarnation != 0);
    hasher.moment(cell.valid_until);
    hasher.number(cell.looked == node.store->state.plan_modified);
    hasher.number(static_cast<std::uint64_t>(cell.demand));
  }
  const StoreState& store = node.store->state;
  for (const auto& [name, stored] : store.records) {
    hasher.id(stored.record.id.text());
    hasher.record(stored.record);
    hasher.number(static_cast<std::uint64_t>(stored.lease));
  }
  for (const auto& [lease, held] : store.leases) {
    hasher.number(static_cast<std::uint64_t>(lease));
    hasher.moment(held.ends);
  }
  if (store.leader) hasher.number(static_cast<std::uint64_t>(store.leader->lease) + 1000);
  if (store.plan) hasher.plan(*store.plan);
  std::vector<std::uint64_t> messages;
  for (const auto& message : node.messages) messages.push_back(ModelEye::message(*message, node));
  std::sort(messages.begin(), messages.end());
  for (const std::uint64_t message : messages) hasher.number(message);
  return hasher.fingerprint();
}

}  // namespace model
}  // namespace shorelead::fleet
