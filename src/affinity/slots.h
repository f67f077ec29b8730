// Assigns slots to units (backends, cells or zones). Pure: takes the present assignment and the units with
// their weights, and returns the next assignment, the same at every process and in every run. Owns how few
// slots move.
//
// A slot's units are ranked by weighted rendezvous hashing (Thaler and Ravishankar 1998; weights by -w / ln
// u, as in Schindelhauer and Schomaker 2005) with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018).
// An existing map is adjusted, not computed anew. With a unit's fair share = slots x weight / all weights,
// F = `kFill`, L = `kStarved`, B = the bound:
//   - In a new map, and for slots whose unit has gone: each slot goes to the first unit of its ranking below
//     sqrt(B) x its share; the last ones only to units below F x their share (below L first), so that all
//     units reach that.
//   - A unit that goes moves only its own slots. No other unit is then above B (their shares only grew) or
//     below L: each had at least L x its old share, and what they lack together is at most L x the share of
//     the one that went, which had at least that (rounding apart: `kFill` is the margin for it).
//   - A unit above B x its share gives up the excess, no more. A unit below L x its share (a new one has no
//     slots) takes slots from units above theirs, up to its share. The excess caused by new units is never
//     more than their shares: it fits with them, within `kMaxTaken` x their share. (Where
//     `SlotMoves::max_moves` spreads it over several plans, the last of it may go to others below their
//     shares.)
//   - In between nothing moves: weights that vary by less than (sqrt(B) - 1) / (sqrt(B) + 1), 5.5% with
//     B = 1.25, move nothing in a new map; in another they move each slot once at most.
// So a map depends on its history, which the plan keeps: it is the same after a restart of all processes.
// Only a fleet whose store has lost its plan computes one anew, from backends and weights alone.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shorelead::affinity {

inline constexpr double kFill = 0.8;
inline constexpr double kStarved = 2.0 / 3;
inline constexpr double kMaxTaken = 1.3;

inline constexpr int kNoOwner = -1;  // the slot's unit has gone or drains: the slot gets another one
inline constexpr int kHeld = -2;     // the slot is not moved

struct Unit {
  std::string name;
  double weight = 1;  // > 0, in any measure
};

struct SlotMoves {
  double bound = 1.25;         // B, at least 1
  std::size_t max_moves = 64;  // slots moved for balance; slots of units that have gone are not limited
  bool balance = true;         // false: only slots without an owner move
};

// Returns the next owner of each slot, as an index into `units` (sorted by name, each once). `owners` are the
// present ones, kNoOwner or kHeld. While any slot is held, nothing moves for balance; without units nothing
// moves at all. O(slots without a unit x units + slots of units above their shares x units below theirs).
std::vector<int> assign(const std::vector<int>& owners, const std::vector<Unit>& units,
                        const SlotMoves& moves);

// Returns a unit's score for a slot; the unit with the highest score ranks first.
double score(std::size_t slot, const Unit& unit, std::uint64_t unit_hash);

}  // namespace shorelead::affinity
