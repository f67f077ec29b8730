// What the records of a fleet say together: is there a shortage of the whole, how much is missed, who asks
// for how much. Pure, O(records x ranks), order of the records does not matter. It must never take one
// record's word, nor one zone's or pool's trouble, for the fleet's.
//
// A record sees a shortage where many of the requests it took were missed (late, refused by backends, without
// an answer) AND its backends have next to no room. Misses with room left are a bad pool, a bad backend, a
// slow client; no room without misses is a fleet well used. Of the fleet it is one where the records that see
// it are
//   - most of those with traffic, counted by heads: one hot process has much weight, but one head;
//   - and most by weight, zone by zone: a zone sees it where most of its weight does, and zones of most of
//   the
//     fleet's weight must. Where there are several zones, one alone is never enough; a zone of one process,
//     or of next to no weight, is none: a liar could claim to be one.
// A record's weight is what it offers, at most three times the median's: a liar among five or more processes
// moves sums by a bounded part and no vote. Among one or two nobody can be outvoted.
#pragma once

#include <vector>

#include "fleet/plan.h"

namespace shorelead::plans {

struct ShortageSettings {
  double missed = 0.1;      // of what was taken: from here on it is a shortage,
  double room = 0.1;        // if less than this share of the backends' capacity is unused
  double small_zone = 0.1;  // a zone of less of the fleet's weight is no zone of its own

  bool operator==(const ShortageSettings&) const = default;
};

struct FleetView {
  bool is_short = false;
  double missed = 0;            // median: in a shortage of those that see it, else of all; 0 to 1
  double room = 1;              // median
  double taken = 0;             // a second, bounded as above
  double in_time = 0;           // likewise
  std::vector<double> offered;  // by rank, likewise; ranks beyond the last count as the last
};

FleetView view_of(const std::vector<fleet::Record>& records, int ranks, const ShortageSettings& settings);

}  // namespace shorelead::plans
