// Which part of a large fleet each node works with, worked out by every node alone. Pure: it takes the list
// of backends and a node's place and gives back a part of the list. Owns the drawing of lots; it must never
// do I/O, read a clock, keep anything between calls, or depend on the order in which backends are listed.
//
// The fleet is divided into L lots, L a power of two; a round is L nodes, one to each lot, so that a whole
// round covers every backend just once. Node i has lot i mod L in round i div L, and every round divides the
// fleet anew. So a backend is held by floor(N/L) or ceil(N/L) of N nodes (a backend no node holds, or one
// that twice as many hold as another, needs less than a whole round), and nodes that come or go change
// nothing for the others. Rounds are the idea of deterministic subsetting (Beyer et al., Site Reliability
// Engineering, O'Reilly 2016, ch. 20); in place of a shuffled list cut into slices, each backend draws its
// lot by hash with a bound on the lots' sizes (consistent hashing with bounded loads, Mirrokni, Thorup and
// Zadimoghaddam, SODA 2018), so that one backend more or less moves few others.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace shorelead::subset {

struct Backend {
  std::uint64_t key = 0;  // hash of its id: the same at every node
  int zone = 0;           // from 0 up: each lot gets its part of every zone
  double size = 1;        // capacity, in any unit that is the same for all
};

struct Place {
  std::uint64_t name = 0;    // hash of the node's name
  std::optional<int> index;  // among the nodes, from 0 up; without it the lot is drawn by name
  int nodes = 0;             // how many there are; 0 = not known

  bool operator==(const Place&) const = default;
};

struct Options {
  int target =
      50;  // backends wanted in a subset; it is met within a factor of sqrt(2), as L is a power of two
  double slack = 0.25;  // a lot holds at most this share more than the mean
  int least_holders =
      2;  // where the number of nodes is known, lots grow rather than have fewer nodes hold a backend
  int whole_up_to = 0;  // a fleet of so many backends at most is not divided

  bool operator==(const Options&) const = default;
};

std::uint64_t hash_of(std::string_view text);

// The number of lots: the power of two for which a lot is nearest to the target, at least 1. Where lots were
// drawn before, their number stays until they are over 1.7 times too large or too small: doubling or halving
// it redraws half of every subset.
int lots_of(std::size_t backends, const Options& options, const Place& place, int before);

// The lot and round of a node among so many lots.
struct Ticket {
  int lot = 0;
  std::uint64_t round = 0;
};
Ticket ticket_of(const Place& place, int lots);

// How many nodes hold each backend: whole rounds, or by chance where nodes know no index; then enough for all
// but one backend in some forty. 0 where all nodes hold all backends, or their number is not known.
double holders(const Place& place, int lots);

// For each backend, in the order given, the lot that it has in this round. O(backends log backends).
std::vector<int> draw(std::span<const Backend> backends, int lots, std::uint64_t round, double slack);

}  // namespace shorelead::subset
