// Which unit (backend, cell or zone) has which slot. Pure: the assignment that stands and the units with
// their weights in, the next assignment out; the same at every process and in every run. Owns how few slots
// move.
//
// A slot's units are ranked by weighted rendezvous hashing (Thaler and Ravishankar 1998; weights by -w / ln
// u, as in Schindelhauer and Schomaker 2005) with bounded loads (Mirrokni, Thorup and Zadimoghaddam 2018).
// From there on it is moved, not made anew. With a unit's part = slots x weight / all weights, F = `kFill`,
// L = `kStarved`, B = the bound:
//   - A map made anew, and slots whose unit has gone: each to its first unit that has room, which is up to
//     sqrt(B) x part; the last ones only to those still under F x part (L first), so that all come to that.
//   - A unit that goes moves only its own slots. None of the others is then over B (their parts only grew);
//     none is under L: each was at L x its old part, what they lack together is at most L x the part of the
//     one that went, which had at least that (whole slots apart: `kFill` is the room for those).
//   - Over B x part, a unit gives what is over, no more. Under L x part (one that came has none), it takes up
//     to its part from units over theirs. What is over because units came is never more than their parts:
//     it all fits with them, within `kMostTaken` x their part. (Where
//     `Moves::most` spreads it over several plans, the last of it may go to others under their parts.)
//   - In between nothing moves: weights that wobble by under (sqrt(B) - 1) / (sqrt(B) + 1), 5.5% with B
//   = 1.25,
//     move nothing in a map made anew; in another they move each slot once at most.
// So a map depends on its history. The plan keeps it: it is the same after a restart of all processes. Only
// a fleet whose store has lost its plan makes one anew, from backends and weights alone.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shorelead::affinity {

inline constexpr double kFill = 0.8;
inline constexpr double kStarved = 2.0 / 3;
inline constexpr double kMostTaken = 1.3;

inline constexpr int kNobody = -1;  // the slot's unit has gone, or drains: it gets another
inline constexpr int kHeld = -2;    // the slot stays as it is, whoever has it

struct Unit {
  std::string name;
  double weight = 1;  // > 0, in any measure
};

struct Moves {
  double bound = 1.25;    // B, at least 1
  std::size_t most = 64;  // slots moved for balance; those of units that have gone are not bounded
  bool balance = true;    // else only slots of nobody move
};

// The next owner of each slot, by place in `units` (in the order of their names, each once), from the present
// ones, kNobody or kHeld. While any slot is held, nothing moves for balance. Without units all stays.
// O(slots without a unit x units + slots of units over their parts x units under theirs).
std::vector<int> assign(const std::vector<int>& owners, const std::vector<Unit>& units, const Moves& moves);

// A unit's score for a slot; the largest is the first.
double score(std::size_t slot, const Unit& unit, std::uint64_t unit_hash);

}  // namespace shorelead::affinity
