#include "affinity/slots.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace shorelead::affinity {
namespace {

constexpr double kRound = 1e-9;  // tolerance for rounding in sums of weights

class Assignment {
 public:
  Assignment(const std::vector<int>& owners, const std::vector<Unit>& units, const SlotMoves& moves)
      : owners_(owners), units_(units), moves_(moves), held_(units.size(), 0), share_(units.size(), 0) {
    double weights = 0;
    for (const Unit& unit : units) {
      hashes_.push_back(XXH3_64bits(unit.name.data(), unit.name.size()));
      weights += unit.weight;
    }
    std::size_t free = owners.size();
    for (const int owner : owners) {
      if (owner == kHeld) --free;
      if (owner >= 0) ++held_[at(owner)];
    }
    all_free_ = free == owners.size();
    for (std::size_t u = 0; u < units.size(); ++u) {
      share_[u] = static_cast<double>(free) * units[u].weight / weights;
    }
  }

  std::vector<int> adjusted() {
    assign_unowned();
    if (moves_.balance && all_free_) {
      const std::vector<std::size_t> starved = starved_units();
      release_excess(starved);
      for (const std::size_t unit : starved) fill_starved(unit);
    }
    return owners_;
  }

 private:
  static std::size_t at(int owner) { return static_cast<std::size_t>(owner); }
  double score_of(std::size_t slot, std::size_t unit) const {
    return score(slot, units_[unit], hashes_[unit]);
  }
  int max_slots(std::size_t u, double factor) const {
    return static_cast<int>(std::ceil(share_[u] * factor - kRound));
  }
  int min_slots(std::size_t u, double level) const {
    return static_cast<int>(std::floor(share_[u] * level + kRound));
  }
  int missing_slots(double level) const {
    int all = 0;
    for (std::size_t u = 0; u < units_.size(); ++u) all += std::max(0, min_slots(u, level) - held_[u]);
    return all;
  }

  std::vector<std::size_t> starved_units() const {
    std::vector<std::size_t> all;
    for (std::size_t u = 0; u < units_.size(); ++u) {
      if (held_[u] < min_slots(u, kStarved)) all.push_back(u);
    }
    return all;
  }

  // Returns the first unit of a slot's ranking for which `may` holds.
  template <typename May>
  int first_ranked(std::size_t slot, const May& may) const {
    int best = kNoOwner;
    double highest = -1;
    for (std::size_t u = 0; u < units_.size(); ++u) {
      if (!may(u)) continue;
      const double here = score_of(slot, u);
      if (here > highest) std::tie(best, highest) = std::pair(static_cast<int>(u), here);
    }
    return best;
  }

  void move(std::size_t slot, std::size_t to) {
    if (owners_[slot] >= 0) --held_[at(owners_[slot])];
    owners_[slot] = static_cast<int>(to);
    ++held_[to];
  }

  // Assigns a unit to each slot without one. There always is one: the shares add up to all free slots.
  void assign_unowned() {
    int left = static_cast<int>(std::count(owners_.begin(), owners_.end(), kNoOwner));
    const double room = std::sqrt(moves_.bound);
    for (std::size_t slot = 0; slot < owners_.size(); ++slot) {
      if (owners_[slot] != kNoOwner) continue;
      const double level = left <= missing_slots(kStarved) ? kStarved
                           : left <= missing_slots(kFill)  ? kFill
                                                           : 0;
      const int to = first_ranked(slot, [&](std::size_t u) {
        return level > 0 ? held_[u] < min_slots(u, level) : held_[u] < max_slots(u, room);
      });
      move(slot, at(to));
      --left;
    }
  }

  // Units above the bound give up the excess: to starved units while these have room, else to any unit below
  // its share.
  void release_excess(const std::vector<std::size_t>& starved) {
    for (std::size_t u = 0; u < units_.size(); ++u) {
      int over = held_[u] - max_slots(u, moves_.bound);
      if (over <= 0) continue;
      std::vector<std::pair<double, std::size_t>> mine;  // the lowest score first
      for (std::size_t slot = 0; slot < owners_.size(); ++slot) {
        if (owners_[slot] == static_cast<int>(u)) mine.emplace_back(score_of(slot, u), slot);
      }
      std::sort(mine.begin(), mine.end());
      for (const auto& [distance, slot] : mine) {
        if (over <= 0 || done_ >= moves_.max_moves) break;
        int to = first_ranked(slot, [&](std::size_t other) {
          return std::binary_search(starved.begin(), starved.end(), other) &&
                 held_[other] < min_slots(other, kMaxTaken);
        });
        if (to == kNoOwner) {
          to = first_ranked(
              slot, [&](std::size_t other) { return other != u && held_[other] < max_slots(other, 1); });
        }
        if (to == kNoOwner) break;
        move(slot, at(to));
        ++done_;
        --over;
      }
    }
  }

  // A starved unit takes slots from units above their shares, beginning with those for which its score is
  // highest relative to their present unit's.
  void fill_starved(std::size_t u) {
    std::vector<std::pair<double, std::size_t>> theirs;
    for (std::size_t slot = 0; slot < owners_.size(); ++slot) {
      const std::size_t owner = at(owners_[slot]);
      if (owner == u || held_[owner] <= share_[owner]) continue;
      theirs.emplace_back(-score_of(slot, u) / score_of(slot, owner), slot);
    }
    std::sort(theirs.begin(), theirs.end());
    for (const auto& [nearness, slot] : theirs) {
      if (held_[u] >= min_slots(u, 1) || done_ >= moves_.max_moves) return;
      const std::size_t owner = at(owners_[slot]);
      if (held_[owner] <= share_[owner]) continue;
      move(slot, u);
      ++done_;
    }
  }

  std::vector<int> owners_;
  const std::vector<Unit>& units_;
  const SlotMoves& moves_;
  std::vector<std::uint64_t> hashes_;
  std::vector<int> held_;
  std::vector<double> share_;
  bool all_free_ = true;
  std::size_t done_ = 0;
};

}  // namespace

double score(std::size_t slot, const Unit& unit, std::uint64_t unit_hash) {
  const std::uint64_t words[2] = {unit_hash, slot};
  const double u = (static_cast<double>(XXH3_64bits(words, sizeof words) >> 11) + 0.5) * 0x1.0p-53;
  return -unit.weight / std::log(u);
}

std::vector<int> assign(const std::vector<int>& owners, const std::vector<Unit>& units,
                        const SlotMoves& moves) {
  return units.empty() ? owners : Assignment(owners, units, moves).adjusted();
}

}  // namespace shorelead::affinity
