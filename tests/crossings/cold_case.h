// What is played before cold backends, and what came of it.
#pragma once

#include <algorithm>

#include "base/millis.h"

namespace shorelead::cold {

constexpr int kWarm = 2;           // backends that all work with until the cold ones come
constexpr Millis kBegin = 15000;   // the cold ones come, and the warm ones go
constexpr Millis kOverlap = 1000;  // a predecessor stays beside its successor for so long

struct Case {
  int processes = 20;
  int stated = 0;        // 0: as many as there are
  double rate = 10;      // requests a second for each process
  double burst = 1;      // times as many from kBegin on
  Millis service = 100;  // mean, of a warm backend that does one at a time
  Millis aim = 0;        // 0: four times as long as the service, as a module guesses that knows nothing
  double fall_multiple = 3;
  Millis fall = 1000;
  double cold_share = 0.3;
  Millis warm_up = 10000;
  Millis span = 4000;        // played from kBegin on
  int cold = 1;              // backends that start cold at once
  bool returns = false;      // it was there before, and comes back
  Millis told_within = 0;    // processes hear of it at random within so long
  Millis replace_every = 0;  // one process after another is replaced by a new one
  bool beside = false;       // and lives on beside it for kOverlap, traffic going to both
  int joiners = 0;           // processes that start at kBegin, beside the others
  bool all_new = false;      // all processes start at kBegin
  Millis flap_every = 0;     // it is said to drain and to be ready again, so often
  int restated = 0;          // processes are told of so many instead, a second after kBegin
  double work_spread = 0;    // of requests, as a share of their mean; 0: all alike
  bool hinted = false;       // and the module is told of each one's
};

// The worst that a cold backend saw in any `fall`.
struct Worst {
  double over_n = 0;      // load over N, what it may get then
  double over_bound = 0;  // load over N + 2 root N + 2
  int falls = 0;          // cold backends that fell
  int played = 0;         // of so many
  double sends = 0;       // mean, to a cold backend in `span`
  void join(const Worst& other) {
    over_n = std::max(over_n, other.over_n);
    over_bound = std::max(over_bound, other.over_bound);
    sends = (sends * played + other.sends * other.played) / std::max(1, played + other.played);
    falls += other.falls, played += other.played;
  }
};

}  // namespace shorelead::cold
