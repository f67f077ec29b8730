// Which part of a large fleet each node works with. Every node computes it alone, from the list of backends
// and its place among the nodes. Pure functions: no I/O, no clock, no state, and the result does not depend
// on the order of the list.
//
// The fleet is divided into L shards, L a power of two. A round is L nodes, one for each shard, so that a
// whole round covers every backend once. Node i has shard i mod L of round i div L, and every round divides
// the fleet anew. So a backend is held by floor(N/L) or ceil(N/L) of N nodes (one that no node holds, or that
// twice as many hold as another, needs less than a whole round), and nodes that come or go change nothing for
// the others. Rounds are the idea of deterministic subsetting (Beyer et al., Site Reliability Engineering,
// O'Reilly 2016, ch. 20). Instead of cutting a shuffled list into slices, each backend draws its shard by
// hash with a bound on the shards' sizes (consistent hashing with bounded loads, Mirrokni, Thorup and
// Zadimoghaddam, SODA 2018), so that adding or removing a backend moves few others.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace shorelead::subset {

struct Backend {
  std::uint64_t key = 0;  // hash of its id, the same on every node
  int zone = 0;           // from 0 up; every shard gets its part of each zone
  double size = 1;        // capacity, in a unit common to all backends
};

// A node's place among the nodes.
struct Place {
  std::uint64_t name = 0;    // hash of the node's name
  std::optional<int> index;  // among the nodes, from 0 up; without it the shard follows from the name
  int nodes = 0;             // how many nodes there are; 0 = unknown

  bool operator==(const Place&) const = default;
};

struct Options {
  // Backends in a subset. Met within a factor of sqrt(2), as the number of shards is a power of two.
  int target = 50;
  double slack = 0.25;  // a shard holds at most this share more than the mean
  // Nodes that hold each backend, at least. If the number of nodes is known, shards are enlarged for this.
  int min_holders = 2;
  int divide_above = 0;  // a fleet of at most so many backends is not divided

  bool operator==(const Options&) const = default;
};

std::uint64_t hash_of(std::string_view text);

// Returns the number of shards: the power of two that brings a shard's size nearest to the target, at
// least 1. The `previous` number (0: none) stays until shards are over 1.7 times too large or too small, as
// doubling or halving it changes half of every subset.
int shard_count(std::size_t backends, const Options& options, const Place& place, int previous);

// The shard and round of a node.
struct ShardAssignment {
  int shard = 0;
  std::uint64_t round = 0;
};
ShardAssignment assignment_of(const Place& place, int shards);

// Returns how many nodes hold each backend. Without indexes that number is random; then it is an upper bound
// for all but one backend in some forty. 0 if all nodes hold all backends, or if the number of nodes is
// unknown.
double holders(const Place& place, int shards);

// Returns the shard of each backend in this round, in the order given. O(n log n) in the number of backends.
std::vector<int> assign_to_shards(std::span<const Backend> backends, int shards, std::uint64_t round,
                                  double slack);

}  // namespace shorelead::subset
