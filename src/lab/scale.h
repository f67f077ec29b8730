// The scale model: many nodes before many boxes in simulated time. Each node is a real decision module
// (Policy) on a real subset (src/subset), each box the stand-ins' queueing model; clients, discovery and the
// network are simulated. Owns the events and the figures; it must never read a clock, do I/O, or decide what
// the module or the subset is to decide. The same options give the same figures.
//
// What it leaves out: connections and descriptors, loss on links, clients' retries, lists that differ in
// content (nodes hear of a change at different moments, but all of the same list).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/millis.h"

namespace shorelead::lab {

struct ScaleOptions {
  int nodes = 1000;
  int boxes = 20000;
  int size = 50;             // of a subset
  std::string way = "lots";  // lots, no index, whole, or one of subset_ways()
  std::string trouble;       // none, zone, zone untold, deploy, double, restart, flap
  double seconds = 60;
  double per_box = 5;         // requests a second to a box on average, over all nodes
  Millis work = 60;           // mean, exponential, on a box of speed 1
  double skew = 0.8;          // share of the boxes in zone 0; the others are divided between two more
  bool three_sizes = false;   // boxes of speeds 0.5, 1 and 2
  double probes_per_box = 0;  // ceiling, a second; 0 = none
  int least_holders = 2;      // nodes that have each box, as far as their number allows
  std::uint64_t seed = 1;
};

struct ScaleResult {
  std::uint64_t asked = 0;
  std::uint64_t served = 0;  // within the aim
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t lost = 0;  // with a node that was restarted
  std::uint64_t attempts = 0;
  Millis p50 = 0;
  Millis p99 = 0;
  double worst_second = 1;  // least share served of what was asked in a second
  int bad_seconds = 0;      // in which less than 0.95 was served
  // Before the trouble: requests taken by a box over the mean (by speed), and probes a second to a box.
  double load_most = 0;
  double load_p99 = 0;
  double load_least = 0;
  double probes_mean = 0;
  double probes_most = 0;
  double subset_mean = 0;
  double churn = 0;     // members that a node took in, over the whole run but its start
  int fallen = 0;       // cold boxes pushed over: rule 4
  int after_grace = 0;  // requests sent to a box more than 250 ms after that node was told: rule 3
  std::uint64_t events = 0;
};

// Throws std::invalid_argument where the options cannot be played.
ScaleResult play_scale(const ScaleOptions& options);

}  // namespace shorelead::lab
