// Combines the records of a fleet into one view: whether the whole fleet is in a shortage, the share of
// requests that miss their deadline, and the offered load by rank. Pure, O(records x ranks), independent of
// the order of the records. Neither one record nor the trouble of one zone or pool counts as a shortage of
// the fleet.
//
// A record sees a shortage if many of the requests it admitted were missed (late, refused by backends,
// without an answer) AND its backends have next to no room. Misses with room left mean a bad pool, a bad
// backend or a slow client; no room without misses means a well-used fleet. The fleet is in a shortage if the
// records that see one are
//   - a majority of those with traffic by number: one hot process has much weight, but one vote;
//   - and a majority by weight, zone by zone: a zone sees a shortage if most of its weight does, and zones
//     with most of the fleet's weight must. Where there are several zones, one alone is never enough; a zone
//     of one process, or of next to no weight, does not count as a zone: a lying process could claim one.
// A record's weight is its offered load, at most three times the median's: one lying process among five or
// more moves the sums by a bounded part and does not change the vote. Among one or two processes no majority
// can outvote a liar.
#pragma once

#include <vector>

#include "fleet/plan.h"

namespace shorelead::plans {

struct ShortageSettings {
  double missed = 0.1;      // share of the admitted requests above which it is a shortage,
  double room = 0.1;        // if less than this share of the backends' capacity is unused
  double small_zone = 0.1;  // a zone with less of the fleet's weight does not count as one

  bool operator==(const ShortageSettings&) const = default;
};

struct FleetView {
  bool is_short = false;
  double missed = 0;            // median, 0 to 1; in a shortage of the records that see it, else of all
  double room = 1;              // median
  double taken = 0;             // requests per second, bounded as above
  double in_time = 0;           // likewise
  std::vector<double> offered;  // by rank, likewise; ranks beyond the last count as the last
};

FleetView view_of(const std::vector<fleet::Record>& records, int ranks, const ShortageSettings& settings);

}  // namespace shorelead::plans
