#include "subset/subset.h"

#include <algorithm>
#include <iterator>

namespace shorelead::subset {
namespace {

// A subset whose capacity is under this share of the mean lot's borrows up to it. Under half, one backend in
// two would have to be lost before it acts; near one, chance in the drawing would make most nodes borrow.
constexpr double kEnough = 0.7;

}  // namespace

void Subset::set_answering(const std::string& id, bool answering) {
  const bool changed = answering ? silent_.erase(id) > 0 : silent_.insert(id).second;
  changed_ = changed_ || changed;
}

void Subset::set_nodes(int nodes) {
  changed_ = changed_ || place_.nodes != nodes;
  place_.nodes = nodes;
}

// Those of its own lot, and as many of the lots next to it as are wanting.
std::vector<std::uint32_t> Subset::chosen() {
  borrowed_ = 0;
  if (fleet_->ready() == 0) return {};
  lots_ = fleet_->lots(place_);
  const Ticket ticket = ticket_of(place_, lots_);
  const Fleet::Drawing& drawing = fleet_->drawing(ticket.round, lots_);
  std::vector<std::uint32_t> members = drawing.lots[static_cast<std::size_t>(ticket.lot)];
  const auto size = [this](std::uint32_t place) { return fleet_->at(place).backend.size; };
  double capacity = 0;
  for (const std::uint32_t place : members) capacity += answers(place) ? size(place) : 0;
  const double wanted = kEnough * fleet_->capacity() / lots_;
  // Lots that differ in the lowest bits first: each lends to another one, so no lot has to lend to all.
  for (int far = 1; far < lots_ && (capacity < wanted || members.empty()); ++far) {
    std::vector<std::uint32_t> lenders = drawing.lots[static_cast<std::size_t>(ticket.lot ^ far)];
    std::sort(lenders.begin(), lenders.end(), [this](std::uint32_t x, std::uint32_t y) {
      return fleet_->at(x).backend.key < fleet_->at(y).backend.key;
    });
    for (const std::uint32_t place : lenders) {
      if (capacity >= wanted && !members.empty()) break;
      // One that was lent and has fallen silent stays, or nobody would hear when it is back.
      if (!answers(place) && !holds(fleet_->at(place).id)) continue;
      members.push_back(place);
      capacity += answers(place) ? size(place) : 0;
      ++borrowed_;
    }
  }
  if (capacity > 0) return members;
  members.clear();  // nobody is known to answer: all who are ready
  for (std::uint32_t place = 0; place < fleet_->size(); ++place) {
    if (fleet_->at(place).ready) members.push_back(place);
  }
  return members;
}

Change Subset::settle() {
  Change change;
  if (!changed_ && settled_ == fleet_->version()) return change;
  changed_ = false;
  settled_ = fleet_->version();
  // One that has gone, or has left the subset, is heard of no more: should it return, it starts over.
  std::set<std::string> now;
  for (const std::uint32_t place : chosen()) now.insert(fleet_->at(place).id);
  std::set_difference(now.begin(), now.end(), members_.begin(), members_.end(),
                      std::back_inserter(change.added));
  std::set_difference(members_.begin(), members_.end(), now.begin(), now.end(),
                      std::back_inserter(change.removed));
  for (const std::string& id : change.removed) silent_.erase(id);
  members_ = std::move(now);
  return change;
}

}  // namespace shorelead::subset
