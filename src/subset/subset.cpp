#include "subset/subset.h"

#include <algorithm>

namespace shorelead::subset {
namespace {

// A subset whose capacity is under this share of the mean lot's borrows up to it. Under half, one box in two
// would have to be lost before it acts; near one, chance in the drawing would make most nodes borrow.
constexpr double kEnough = 0.7;

}  // namespace

Subset::Subset(const Options& options, const Place& place) : options_(options), place_(place) {}

void Subset::put(const Listed& listed) {
  const auto [it, fresh] = places_.try_emplace(listed.id, static_cast<std::uint32_t>(boxes_.size()));
  if (fresh)
    boxes_.push_back({{hash_of(listed.id), listed.zone, listed.size}, listed.id, listed.ready, true, false});
  Known& known = boxes_[it->second];
  if (!fresh && known.ready == listed.ready && known.box.zone == listed.zone && known.box.size == listed.size)
    return;
  known.ready = listed.ready;
  known.box.zone = std::max(0, listed.zone);
  known.box.size = std::max(1e-6, listed.size);
  changed_ = true;
}

void Subset::remove(const std::string& id) {
  const auto it = places_.find(id);
  if (it == places_.end()) return;
  const std::uint32_t place = it->second;
  if (boxes_[place].member) left_.push_back(id);
  places_.erase(it);
  if (place + 1 != boxes_.size()) {
    boxes_[place] = std::move(boxes_.back());
    places_[boxes_[place].id] = place;
  }
  boxes_.pop_back();
  changed_ = true;
}

void Subset::clear() {
  for (const Known& known : boxes_) {
    if (known.member) left_.push_back(known.id);
  }
  boxes_.clear();
  places_.clear();
  changed_ = true;
}

void Subset::set_answering(const std::string& id, bool answering) {
  const auto it = places_.find(id);
  if (it == places_.end() || boxes_[it->second].answering == answering) return;
  boxes_[it->second].answering = answering;
  changed_ = changed_ || boxes_[it->second].member;
}

// Those of its own lot that are ready, and as many ready ones of the lots next to it as are wanting.
std::vector<std::uint32_t> Subset::chosen() {
  std::vector<Box> ready;
  std::vector<std::uint32_t> places;
  double total = 0;
  for (std::uint32_t n = 0; n < boxes_.size(); ++n) {
    if (!boxes_[n].ready) continue;
    ready.push_back(boxes_[n].box);
    places.push_back(n);
    total += boxes_[n].box.size;
  }
  borrowed_ = 0;
  if (ready.empty()) return {};
  lots_ = lots_of(ready.size(), options_, place_, lots_);
  const Ticket ticket = ticket_of(place_, lots_);
  const std::vector<int> lot_of = draw(ready, lots_, ticket.round, options_.slack);
  std::vector<std::uint32_t> members;
  double capacity = 0;
  for (std::size_t n = 0; n < ready.size(); ++n) {
    if (lot_of[n] != ticket.lot) continue;
    members.push_back(places[n]);
    if (boxes_[places[n]].answering) capacity += ready[n].size;
  }
  const double wanted = kEnough * total / lots_;
  if (capacity >= wanted && !members.empty()) return members;
  // Lots that differ in the lowest bits first: each lends to another one, so no lot has to lend to all.
  struct Lender {
    int far;
    std::uint64_t key;
    std::size_t n;
    bool operator<(const Lender& o) const { return far != o.far ? far < o.far : key < o.key; }
  };
  std::vector<Lender> lenders;
  for (std::size_t n = 0; n < ready.size(); ++n) {
    if (lot_of[n] == ticket.lot || !boxes_[places[n]].answering) continue;
    lenders.push_back({lot_of[n] ^ ticket.lot, ready[n].key, n});
  }
  std::sort(lenders.begin(), lenders.end());
  for (const Lender& lender : lenders) {
    if (capacity >= wanted && !members.empty()) break;
    members.push_back(places[lender.n]);
    capacity += ready[lender.n].size;
    ++borrowed_;
  }
  if (capacity <= 0) members = places;  // nobody is known to answer: all who are ready
  return members;
}

Change Subset::settle() {
  Change change;
  if (!changed_) return change;
  changed_ = false;
  std::vector<bool> now(boxes_.size(), false);
  for (const std::uint32_t place : chosen()) now[place] = true;
  for (const std::string& id : left_) {
    const auto again = places_.find(id);
    if (again == places_.end()) {
      change.removed.push_back(id);
    } else {
      boxes_[again->second].member = true;  // gone and back within one settle: the node never heard of it
    }
  }
  left_.clear();
  for (std::uint32_t n = 0; n < boxes_.size(); ++n) {
    if (now[n] == boxes_[n].member) continue;
    (now[n] ? change.added : change.removed).push_back(boxes_[n].id);
    boxes_[n].member = now[n];
  }
  return change;
}

std::vector<std::string> Subset::members() const {
  std::vector<std::string> ids;
  for (const Known& known : boxes_) {
    if (known.member) ids.push_back(known.id);
  }
  return ids;
}

bool Subset::holds(const std::string& id) const {
  const auto it = places_.find(id);
  return it != places_.end() && boxes_[it->second].member;
}

}  // namespace shorelead::subset
