// A process of the model: its lease and record, the plan that it follows, the requests it sends.
#include <algorithm>

#include "model.h"

namespace shorelead::affinity {
namespace {

// Returns the slots that both maps have open at the same backend: those that a process may use as soon as it
// sees the next plan.
fleet::SlotMap common(const fleet::SlotMap& a, const fleet::SlotMap& b) {
  fleet::SlotMap both = a;
  for (std::size_t n = 0; n < both.slots.size(); ++n) {
    const bool same = n < b.slots.size() && b.slots[n].open && b.slots[n].backend == a.slots[n].backend;
    both.slots[n].open = both.slots[n].open && same;
  }
  return both;
}

constexpr int kSlotBits = 4;
static_assert(kSlots == std::size_t{1} << kSlotBits);

std::optional<UnitStatus> ready(Scope, const std::string&) { return UnitStatus::kReady; }

}  // namespace

// Nothing is in force any more; a record left in the store expires by itself.
void Model::lose(Process& p) {
  p.modified = 0;
  p.valid_until = -1;
  p.in_force = {};
  p.open = {};
  p.incarnation = 0;
  apply_snapshot(p);
}

void Model::apply_snapshot(Process& p) {
  if (!p.keys) p.keys = std::make_shared<Bindings>(std::vector{rule_}, 8);
  fleet::Snapshot snapshot;
  snapshot.incarnation = p.incarnation;
  if (!p.open.slots.empty()) snapshot.affinity[map_name(rule_)] = p.open;
  p.keys->apply_snapshot(snapshot, now_);
}

// Every few milliseconds and before each decision: ends finished requests and cancels those that are due.
void Model::end_due_work(Process& p) {
  if (!p.keys) apply_snapshot(p);
  const auto release = [&p](const Work& work) { return p.keys->release(work.place), true; };
  std::erase_if(p.work, [&](const Work& work) { return work.ends <= now_ && release(work); });
  for (const int place : p.keys->cancel_due(now_ < p.valid_until, now_, ready)) {
    std::erase_if(p.work, [&](const Work& work) { return work.place == place && release(work); });
  }
}

// Renews the lease, or creates the record if this process has none.
void Model::renew(std::size_t n) {
  if (processes_[n].modified == 0) return put_record(n, 0);
  const Millis begun = now_;
  const std::string name = processes_[n].name;
  from(n, [this, n, name, begun] {
    const auto it = records_.find(name);
    const bool there = it != records_.end();
    if (there) it->second.expires = now_ + sharing().lease;
    to(n, [this, there, begun](Process& p) {
      if (!there) return lose(p);
      if (p.modified > 0) p.valid_until = std::max(p.valid_until, begun + fleet::valid_for(sharing()));
    });
  });
}

void Model::put_record(std::size_t n, std::uint64_t epoch) {
  Process& p = processes_[n];
  if (p.call != 0) return;
  const std::uint64_t call = p.call = ++calls_;
  at(now_ + 600,
     [this, n, call] {  // timed out: the write may have been done or not, and a late answer is dropped
       if (processes_[n].call == call) processes_[n].call = 0;
     });
  const Millis begun = now_;
  const std::uint64_t modified = p.modified, plan_modified = p.seen_modified;
  const std::string name = p.name;
  const fleet::Plan plan = p.seen;
  from(n, [=, this] {
    const auto it = records_.find(name);
    const std::uint64_t has = it == records_.end() ? 0 : it->second.modified;
    const bool plan_same = epoch == 0 || plan_modified == plan_modified_ || flaw_ == Flaw::kPlanUncompared;
    const bool done = has == modified && plan_same;
    const std::uint64_t revision = done ? ++revision_ : 0;
    if (done) {
      Stored& stored = records_[name];
      stored.record.id = {name, 1};
      stored.record.epoch = epoch;
      stored.modified = revision;
      if (modified == 0) stored.expires = now_ + sharing().lease;
    }
    to(n, [=, this](Process& q) {
      if (q.call != call) return;
      q.call = 0;
      if (!done) {
        if (has != modified) lose(q);
        return;
      }
      if (q.modified == 0) q.incarnation = ++incarnations_;
      q.modified = revision;
      if (modified == 0) q.valid_until = begun + fleet::valid_for(sharing());
      if (epoch > 0 && epoch > q.in_force.epoch) {
        q.in_force = plan;
        // Slots that a newer plan seen meanwhile has closed stay closed.
        const fleet::SlotMap& map = plan.affinity.at(map_name(rule_));
        q.open = q.seen.epoch > epoch ? common(map, q.seen.affinity.at(map_name(rule_))) : map;
        apply_snapshot(q);
      }
    });
  });
}

void Model::see(Process& p, const fleet::Plan& plan, std::uint64_t modified) {
  if (plan.epoch <= p.seen.epoch) return;
  p.seen = plan;
  p.seen_modified = modified;
  const fleet::SlotMap& map = plan.affinity.at(map_name(rule_));
  if (flaw_ == Flaw::kNoRecord) {
    p.open = map;
  } else if (flaw_ != Flaw::kKeepsStale) {
    p.open = common(p.open, map);
  }
  apply_snapshot(p);
}

void Model::follow(std::size_t n) {
  Process& p = processes_[n];
  if (p.paused_until > now_ || !p.alive || p.modified == 0 || p.seen.epoch <= p.in_force.epoch) return;
  end_due_work(p);
  if (p.keys->quiet() || flaw_ == Flaw::kNotQuiet) put_record(n, p.seen.epoch);
}

void Model::send(std::size_t n) {
  Process& p = processes_[n];
  if (p.paused_until > now_ || !p.alive) return;
  end_due_work(p);
  const bool valid = now_ < p.valid_until || flaw_ == Flaw::kIgnoresExpiry;
  const std::vector<int> waiting = p.keys->waiting();
  for (const int place : waiting) {
    const std::size_t slot = p.keys->request_of(place);
    sent(p, p.keys->reconsider(place, valid, now_, ready), slot);
  }
  const std::size_t slot = random_.below(kSlots);
  const RuleMatch found{0, true, std::uint64_t{slot} << (64 - kSlotBits)};
  sent(p, p.keys->arrive(static_cast<std::uint32_t>(slot), found, valid, now_ + 40, now_, ready), slot);
}

void Model::sent(Process& p, const Bindings::RoutingResult& result, std::size_t slot) {
  result_.refused += result.action == RoutingAction::kRefuse;
  if (result.action != RoutingAction::kOnly) return;
  const fleet::Slot& used = p.open.slots[slot];
  if (*result.unit != used.backend || !used.open) record_violation(p.name + " sends where no slot is open");
  auto& [token, backend] = last_[slot];
  if (used.since < token && used.backend != backend) record_violation(p.name + " sends by an older opening");
  result_.moves += token > 0 && used.backend != backend;
  if (used.since >= token) std::tie(token, backend) = std::pair(used.since, used.backend);
  for (const Process& other : processes_) {
    if (!other.alive || other.paused_until > now_ || now_ >= other.valid_until) continue;
    for (const Work& work : other.work) {
      if (work.slot == slot && work.backend != used.backend && work.ends > now_)
        record_violation("two boxes work for a slot");
    }
  }
  p.work.push_back({slot, used.backend, now_ + kLongest * random_.unit(), result.place});
  ++result_.sends;
}

}  // namespace shorelead::affinity
