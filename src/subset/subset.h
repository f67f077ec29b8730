// One node's subset over time: its own shard, and backends borrowed from neighbouring shards while its own
// has lost much of its capacity. Does no I/O. It never drops a backend for being slow, which is the policy's
// to judge, and is never empty while any backend is ready.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "subset/fleet.h"

namespace shorelead::subset {

struct Change {
  std::vector<std::string> added;    // may get requests from now on
  std::vector<std::string> removed;  // get no new requests; those in flight go on
  bool empty() const { return added.empty() && removed.empty(); }
};

class Subset {
 public:
  Subset(const Options& options, const Place& place) : Subset(std::make_shared<Fleet>(options), place) {}
  // With a fleet that other subsets share. The owner of the shared fleet updates it.
  Subset(std::shared_ptr<Fleet> fleet, const Place& place) : fleet_(std::move(fleet)), place_(place) {}

  // Changes of the list. They take effect on the subset at the next update(), so that many changes cost one
  // partition.
  void put(const ListEntry& listed) { fleet_->put(listed); }
  void remove(const std::string& id) { fleet_->remove(id); }
  void clear() { fleet_->clear(); }
  // Sets whether a member answers the node. One that does not stays in the subset, but its capacity doesn't
  // count.
  void set_answering(const std::string& id, bool answering);
  void set_nodes(int nodes);

  // Recomputes the subset if anything has changed since the last call, and returns the difference.
  Change update();

  std::vector<std::string> members() const { return {members_.begin(), members_.end()}; }
  bool contains(const std::string& id) const { return members_.count(id) > 0; }
  std::size_t size() const { return members_.size(); }
  int shards() const { return shards_; }
  std::size_t fleet() const { return fleet_->size(); }
  std::size_t borrowed() const { return borrowed_; }

 private:
  std::vector<std::uint32_t> select_members();
  bool answers(std::uint32_t place) const { return unresponsive_.count(fleet_->at(place).id) == 0; }

  const std::shared_ptr<Fleet> fleet_;
  Place place_;
  int shards_ = 0;
  std::set<std::string> members_;  // ordered, so that changes come in the same order on every node
  std::unordered_set<std::string> unresponsive_;
  std::uint64_t updated_to_ = 0;  // version of the list that the subset was computed from
  bool changed_ = false;          // something other than the list has changed
  std::size_t borrowed_ = 0;
};

}  // namespace shorelead::subset
