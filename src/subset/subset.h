// One node's subset over time: its own lot, and backends lent by its neighbours' lots while its own has lost
// much of its capacity. Pure: events with the time in, changes of the subset out. Owns who is in the subset;
// it must never drop a backend for being slow (that is the module's to judge), nor leave the subset empty
// while anybody is ready.
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
  std::vector<std::string> added;    // now to be worked with
  std::vector<std::string> removed;  // no longer; whatever is under way there goes on
  bool empty() const { return added.empty() && removed.empty(); }
};

class Subset {
 public:
  Subset(const Options& options, const Place& place) : Subset(std::make_shared<Fleet>(options), place) {}
  // On a list that others read too; whoever shares it changes it.
  Subset(std::shared_ptr<Fleet> fleet, const Place& place) : fleet_(std::move(fleet)), place_(place) {}

  // The fleet changed: entries that are new or not as they were, and ids that have gone. What changes in the
  // subset is told by settle(), so that many changes at once cost one drawing.
  void put(const Listed& listed) { fleet_->put(listed); }
  void remove(const std::string& id) { fleet_->remove(id); }
  void clear() { fleet_->clear(); }
  // Whether the node finds a member answering. One that does not stays in the subset but counts as no
  // capacity.
  void set_answering(const std::string& id, bool answering);
  void set_nodes(int nodes);

  // Draws anew if anything changed since, and says what that changes.
  Change settle();

  std::vector<std::string> members() const { return {members_.begin(), members_.end()}; }
  bool holds(const std::string& id) const { return members_.count(id) > 0; }
  std::size_t size() const { return members_.size(); }
  int lots() const { return lots_; }
  std::size_t fleet() const { return fleet_->size(); }
  std::size_t borrowed() const { return borrowed_; }

 private:
  std::vector<std::uint32_t> chosen();
  bool answers(std::uint32_t place) const { return silent_.count(fleet_->at(place).id) == 0; }

  const std::shared_ptr<Fleet> fleet_;
  Place place_;
  int lots_ = 0;
  std::set<std::string> members_;  // ordered, so that changes are told in the same order everywhere
  std::unordered_set<std::string> silent_;
  std::uint64_t settled_ = 0;  // version of the list that this subset was drawn from
  bool changed_ = false;       // something else did
  std::size_t borrowed_ = 0;
};

}  // namespace shorelead::subset
