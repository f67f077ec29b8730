#include "lab/leases.h"

#include <algorithm>

namespace shorelead::lab {

bool Leases::grant(std::int64_t id, Millis length, Millis now, std::uint64_t revision) {
  last_ = std::max(last_, id);
  return leases_.emplace(id, Lease{length, now + length, revision}).second;
}

bool Leases::keep_alive(std::int64_t id, Millis now) {
  const auto it = leases_.find(id);
  if (it == leases_.end()) return false;
  it->second.ends = now + it->second.length;
  return true;
}

const Leases::Lease* Leases::find(std::int64_t id) const {
  const auto it = leases_.find(id);
  return it == leases_.end() ? nullptr : &it->second;
}

void Leases::end(std::int64_t id, std::uint64_t revision) {
  const auto it = leases_.find(id);
  if (it == leases_.end()) return;
  past_.push_back({id, it->second, revision});
  leases_.erase(it);
}

std::optional<std::int64_t> Leases::run_out(Millis now) const {
  for (const auto& [id, lease] : leases_) {
    if (lease.ends <= now) return id;
  }
  return std::nullopt;
}

void Leases::restore(std::uint64_t revision, Millis now) {
  std::erase_if(leases_, [revision](const auto& entry) { return entry.second.since > revision; });
  for (const Past& past : past_) {
    if (past.lease.since <= revision && past.until > revision) leases_.emplace(past.id, past.lease);
  }
  std::erase_if(past_, [revision](const Past& past) { return past.until > revision; });
  for (auto& [id, lease] : leases_) lease.ends = now + lease.length;
}

}  // namespace shorelead::lab
