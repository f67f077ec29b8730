#include "fleet/departed_members.h"

#include <algorithm>

namespace shorelead::fleet {

DepartedMembers::DepartedMembers(const Sharing& sharing, const std::vector<Budget>& budgets) {
  wait_ = sharing.longest;
  for (const Budget& budget : budgets) wait_ = std::max(wait_, budget.hold);
  wait_ *= 1 + 2 * sharing.drift;
}

void DepartedMembers::reset() {
  first_read_ = -1;
  seen_.clear();
}

namespace {

// The maximum of record and plan: a plan may be lower than what the record still held when it disappeared.
Parts held_by(const Record& record, const std::optional<Plan>& plan, const std::string& id) {
  Parts had = record.in_force;
  const auto given = plan ? plan->shares.find(id) : std::map<std::string, Parts>::const_iterator();
  if (!plan || given == plan->shares.end()) return had;
  for (const auto& [budget, part] : given->second) {
    Part& most = had[budget];
    most = {std::max(most.amount, part.amount), std::max(most.burst, part.burst)};
  }
  return had;
}

}  // namespace

void DepartedMembers::read(const std::vector<Record>& records, const std::optional<Plan>& plan, Millis now) {
  if (first_read_ < 0) first_read_ = now;
  std::set<std::string> there;
  for (const Record& record : records) {
    const std::string id = record.id.text();
    there.insert(id);
    seen_[id] = {-1, record.epoch, held_by(record, plan, id), false};
  }
  if (plan) {
    // Its record was never seen here: it may have had any plan in force.
    for (const auto& [id, parts] : plan->shares) seen_.try_emplace(id, Seen{-1, 1, parts, false});
  }
  for (auto it = seen_.begin(); it != seen_.end();) {
    if (!there.contains(it->first) && it->second.gone < 0) it->second.gone = now;
    it->second.out = it->second.gone >= 0 && now - it->second.gone >= wait_;
    const bool named = plan && plan->shares.contains(it->first);
    it = it->second.out && !named ? seen_.erase(it) : std::next(it);
  }
}

std::map<std::string, Parts> DepartedMembers::gone() const {
  std::map<std::string, Parts> gone;
  for (const auto& [id, seen] : seen_) {
    if (seen.gone >= 0 && !seen.out) gone[id] = seen.had;
  }
  return gone;
}

std::vector<Record> DepartedMembers::substitute_records() const {
  std::vector<Record> substitute_records;
  for (const auto& [id, seen] : seen_) {
    if (seen.gone < 0 || seen.out) continue;
    Record substitute;
    substitute.id.name = id;
    substitute.epoch = std::max<std::uint64_t>(seen.epoch, 1);
    substitute_records.push_back(std::move(substitute));
  }
  return substitute_records;
}

}  // namespace shorelead::fleet
