#include "fleet/search_print.h"

#include <algorithm>
#include <cmath>

namespace shorelead::fleet {

namespace model {

namespace {

class Ink {
 public:
  explicit Ink(const Node& node) : node_(node) {}

  void number(std::uint64_t value) {
    print_.a = Random(print_.a ^ value).next();
    print_.b = Random(print_.b + value * 0x9e3779b97f4a7c15ULL).next();
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
  Print print() const { return print_; }

  const Node& node_;

 private:
  Print print_;
};

}  // namespace

}  // namespace model

struct ModelEye {
  static std::uint64_t incarnation(const Member& member) { return member.id_.incarnation; }

  static void member(const model::Cell& cell, model::Ink& ink) {
    const Member& it = cell.core;
    const model::StoreState& store = ink.node_.store->state;
    const auto kept = store.records.find(it.id_.name);
    ink.number(static_cast<std::uint64_t>(it.phase_));
    ink.number(static_cast<std::uint64_t>(it.lease_.lease_));
    ink.moment(it.lease_.held_since_);
    ink.moment(it.lease_.due_);
    ink.number(it.lease_.underway_.call != 0 ? 1 + it.lease_.revoking_ : 0);
    ink.snapshot(it.held_.now_);
    ink.number(it.held_.applied_by_traffic());
    ink.number(it.id_.incarnation != 0);
    ink.record(it.record_);
    ink.number(it.modified_ == 0 ? 2 : kept != store.records.end() && kept->second.modified == it.modified_);
    ink.moment(it.put_begun_);
    ink.number(it.put_call_.call != 0);
    if (it.put_call_.call != 0) {
      ink.record(it.put_);
      ink.number(it.put_epoch_);
    }
    ink.moment(it.put_due_);
    ink.moment(it.put_soon_);
    ink.moment(it.put_again_);
    ink.moment(it.lower_again_);
    ink.number(it.plan_modified_ == store.plan_modified);
    if (it.plan_) ink.plan(*it.plan_);
    ink.number(it.plan_passed_);
  }

  static void planner(const model::Cell& cell, model::Ink& ink) {
    const Planner& it = cell.plans;
    const model::StoreState& store = ink.node_.store->state;
    ink.number(static_cast<std::uint64_t>(it.lease_));
    ink.moment(it.lease_until_);
    ink.number(it.fence_ == 0 ? 2 : store.leader && store.leader->created == it.fence_);
    ink.moment(it.campaign_at_);
    ink.moment(it.read_at_);
    ink.number(it.unfinished_);
    ink.moment(it.history_.since());
    ink.number(it.underway_.call != 0);
    ink.number(it.put_.has_value());
    if (it.put_) put(*it.put_, ink);
  }

  static void put(const PutPlan& put, model::Ink& ink) {
    const model::StoreState& store = ink.node_.store->state;
    ink.plan(put.plan);
    ink.number(put.modified == store.plan_modified);
    ink.number(store.leader && store.leader->created == put.fence);
  }

  // A message is fingerprinted by its effect, not by its call number.
  static std::uint64_t message(const model::Message& message, const model::Node& node) {
    model::Ink ink(node);
    const model::StoreState& store = node.store->state;
    ink.number(static_cast<std::uint64_t>(message.process));
    ink.number(message.given_up);
    ink.moment(message.begun);
    ink.number(message.call.index());
    std::visit([&](const auto& call) { ink.number(call.index()); }, message.call);
    if (message.answer) {
      ink.number(7);
      answer(*message.answer, ink);
    } else if (const auto* call = std::get_if<MemberCall>(&message.call)) {
      if (const auto* wanted = std::get_if<PutRecord>(call)) {
        const auto kept = store.records.find(wanted->record.id.name);
        ink.id(wanted->record.id.text());
        ink.record(wanted->record);
        ink.number(wanted->modified == 0
                       ? 2
                       : kept != store.records.end() && kept->second.modified == wanted->modified);
        ink.number(wanted->plan_modified == 0 ? 2 : wanted->plan_modified == store.plan_modified);
        ink.number(static_cast<std::uint64_t>(wanted->lease));
      }
    } else if (const auto* wanted = std::get_if<PutPlan>(&std::get<PlannerCall>(message.call))) {
      put(*wanted, ink);
    }
    return ink.print().a;
  }

  static void answer(const model::AnyEvent& event, model::Ink& ink) {
    const model::StoreState& store = ink.node_.store->state;
    if (const auto* member = std::get_if<MemberEvent>(&event)) {
      ink.number(member->index());
      if (const auto* seen = std::get_if<PlanSeen>(member)) ink.plan(seen->plan);
      if (const auto* renewed = std::get_if<Renewed>(member)) ink.number(renewed->there);
      if (const auto* put = std::get_if<RecordPut>(member)) {
        ink.number(put->done);
        const auto stands = [&](std::uint64_t modified) {
          return std::any_of(store.records.begin(), store.records.end(),
                             [&](const auto& kept) { return kept.second.modified == modified; });
        };
        ink.number(stands(put->done ? put->revision : put->own_modified));
        if (put->own) {
          ink.id(put->own->id.text());
          ink.record(*put->own);
        }
        ink.number(put->plan_modified == store.plan_modified);
      }
      return;
    }
    const auto& planner = std::get<PlannerEvent>(event);
    ink.number(100 + planner.index());
    if (const auto* result = std::get_if<CampaignResult>(&planner)) {
      ink.number(store.leader && store.leader->created == result->created);
      ink.text(result->value.substr(0, 1));
    }
    if (const auto* put = std::get_if<PlanPut>(&planner)) ink.number(put->done);
    if (const auto* read = std::get_if<AllRead>(&planner)) {
      ink.number(store.leader && store.leader->created == read->planner_created);
      ink.number(read->plan_modified == store.plan_modified);
      if (read->plan) ink.plan(*read->plan);
      for (const Record& record : read->records) {
        ink.id(record.id.text());
        ink.record(record);
      }
    }
  }
};

namespace model {

void Ink::id(const std::string& id) {
  text(id.substr(0, 1));
  const auto cell = static_cast<std::size_t>(id[0] - 'A');
  const std::string now = std::to_string(ModelEye::incarnation(node_.cells[cell]->core));
  number(id.substr(2) == now);
}

Print print_of(const Node& node) {
  Ink ink(node);
  ink.number(static_cast<std::uint64_t>(node.now / kStep));
  ink.number(static_cast<std::uint64_t>(node.faults));
  for (const Shared<Cell>& held : node.cells) {
    const Cell& cell = *held;
    ink.number(cell.there + 2 * cell.paused + 4 * cell.slow + 8 * cell.lags);
    if (!cell.there) continue;
    ModelEye::member(cell, ink);
    ModelEye::planner(cell, ink);
    ink.snapshot(*cell.taken);
    ink.number(cell.taken == cell.latest);
    ink.number(cell.incarnation != 0);
    ink.moment(cell.valid_until);
    ink.number(cell.looked == node.store->state.plan_modified);
    ink.number(static_cast<std::uint64_t>(cell.demand));
  }
  const StoreState& store = node.store->state;
  for (const auto& [name, kept] : store.records) {
    ink.id(kept.record.id.text());
    ink.record(kept.record);
    ink.number(static_cast<std::uint64_t>(kept.lease));
  }
  for (const auto& [lease, held] : store.leases) {
    ink.number(static_cast<std::uint64_t>(lease));
    ink.moment(held.ends);
  }
  if (store.leader) ink.number(static_cast<std::uint64_t>(store.leader->lease) + 1000);
  if (store.plan) ink.plan(*store.plan);
  std::vector<std::uint64_t> messages;
  for (const auto& message : node.messages) messages.push_back(ModelEye::message(*message, node));
  std::sort(messages.begin(), messages.end());
  for (const std::uint64_t message : messages) ink.number(message);
  return ink.print();
}

}  // namespace model
}  // namespace shorelead::fleet
