#include "subset/fleet.h"

#include <algorithm>

namespace shorelead::subset {

void Fleet::put(const ListEntry& listed) {
  const Backend backend{hash_of(listed.id), std::max(0, listed.zone), std::max(1e-6, listed.size)};
  const auto [it, added] = positions_.try_emplace(listed.id, static_cast<std::uint32_t>(backends_.size()));
  if (added) backends_.push_back({backend, listed.id, false});
  Entry& entry = backends_[it->second];
  const bool same =
      entry.ready == listed.ready && entry.backend.zone == backend.zone && entry.backend.size == backend.size;
  if (!added && same) return;
  ready_ += static_cast<std::size_t>(listed.ready) - static_cast<std::size_t>(entry.ready);
  entry.backend = backend;
  entry.ready = listed.ready;
  ++version_;
}

void Fleet::remove(const std::string& id) {
  const auto it = positions_.find(id);
  if (it == positions_.end()) return;
  const std::uint32_t position = it->second;
  ready_ -= backends_[position].ready;
  positions_.erase(it);
  if (position + 1 != backends_.size()) {
    backends_[position] = std::move(backends_.back());
    positions_[backends_[position].id] = position;
  }
  backends_.pop_back();
  ++version_;
}

void Fleet::clear() {
  backends_.clear();
  positions_.clear();
  ready_ = 0;
  ++version_;
}

double Fleet::capacity() const {
  double total = 0;
  for (const Entry& entry : backends_) total += entry.ready ? entry.backend.size : 0;
  return total;
}

int Fleet::update_shard_count(const Place& place) {
  return shards_ = shard_count(ready_, options_, place, shards_);
}

const Fleet::Partition& Fleet::partition(std::uint64_t round, int shards) {
  Partition& partition = partitions_[round];
  if (partition.version == version_ && partition.shards.size() == static_cast<std::size_t>(shards))
    return partition;
  std::vector<Backend> ready;
  std::vector<std::uint32_t> positions;
  ready.reserve(ready_);
  positions.reserve(ready_);
  for (std::uint32_t position = 0; position < backends_.size(); ++position) {
    if (!backends_[position].ready) continue;
    ready.push_back(backends_[position].backend);
    positions.push_back(position);
  }
  const std::vector<int> shard_of = assign_to_shards(ready, shards, round, options_.slack);
  partition.version = version_;
  partition.shards.assign(static_cast<std::size_t>(shards), {});
  for (std::size_t n = 0; n < shard_of.size(); ++n) {
    partition.shards[static_cast<std::size_t>(shard_of[n])].push_back(positions[n]);
  }
  return partition;
}

}  // namespace shorelead::subset
