#include "subset/subset.h"

#include <algorithm>
#include <iterator>

namespace shorelead::subset {
namespace {

// A subset with less than this share of the mean shard's capacity borrows up to it. With a share under 0.5
// half of the subset would have to fail first; near 1 the random sizes of shards would make most nodes
// borrow.
constexpr double kBorrowBelow = 0.7;

}  // namespace

void Subset::set_answering(const std::string& id, bool answering) {
  const bool changed = answering ? unresponsive_.erase(id) > 0 : unresponsive_.insert(id).second;
  changed_ = changed_ || changed;
}

void Subset::set_nodes(int nodes) {
  changed_ = changed_ || place_.nodes != nodes;
  place_.nodes = nodes;
}

// Returns the backends of the node's own shard, and as many of neighbouring shards as its capacity lacks.
std::vector<std::uint32_t> Subset::select_members() {
  borrowed_ = 0;
  if (fleet_->ready() == 0) return {};
  shards_ = fleet_->update_shard_count(place_);
  const ShardAssignment assignment = assignment_of(place_, shards_);
  const Fleet::Partition& partition = fleet_->partition(assignment.round, shards_);
  std::vector<std::uint32_t> members = partition.shards[static_cast<std::size_t>(assignment.shard)];
  const auto size = [this](std::uint32_t position) { return fleet_->at(position).backend.size; };
  double capacity = 0;
  for (const std::uint32_t position : members) capacity += answers(position) ? size(position) : 0;
  const double wanted = kBorrowBelow * fleet_->capacity() / shards_;
  // Shards whose numbers differ in the lowest bits come first. So each shard lends to another one, and none
  // has to lend to all.
  for (int distance = 1; distance < shards_ && (capacity < wanted || members.empty()); ++distance) {
    std::vector<std::uint32_t> lenders =
        partition.shards[static_cast<std::size_t>(assignment.shard ^ distance)];
    std::sort(lenders.begin(), lenders.end(), [this](std::uint32_t x, std::uint32_t y) {
      return fleet_->at(x).backend.key < fleet_->at(y).backend.key;
    });
    for (const std::uint32_t position : lenders) {
      if (capacity >= wanted && !members.empty()) break;
      // An unresponsive backend that is already borrowed stays, so that its recovery is noticed.
      if (!answers(position) && !contains(fleet_->at(position).id)) continue;
      members.push_back(position);
      capacity += answers(position) ? size(position) : 0;
      ++borrowed_;
    }
  }
  if (capacity > 0) return members;
  members.clear();  // none is known to answer: try all ready backends
  for (std::uint32_t position = 0; position < fleet_->size(); ++position) {
    if (fleet_->at(position).ready) members.push_back(position);
  }
  return members;
}

Change Subset::update() {
  Change change;
  if (!changed_ && updated_to_ == fleet_->version()) return change;
  changed_ = false;
  updated_to_ = fleet_->version();
  std::set<std::string> now;
  for (const std::uint32_t position : select_members()) now.insert(fleet_->at(position).id);
  std::set_difference(now.begin(), now.end(), members_.begin(), members_.end(),
                      std::back_inserter(change.added));
  std::set_difference(members_.begin(), members_.end(), now.begin(), now.end(),
                      std::back_inserter(change.removed));
  // The node observes removed backends no longer, so one that returns counts as answering.
  for (const std::string& id : change.removed) unresponsive_.erase(id);
  members_ = std::move(now);
  return change;
}

}  // namespace shorelead::subset
