// A simulated case of processes before cold backends, and its result.
#pragma once

#include <algorithm>

#include "base/millis.h"

namespace shorelead::cold {

constexpr int kWarm = 2;           // backends that all processes use until the cold ones join
constexpr Millis kBegin = 15000;   // the cold backends join and the warm ones leave
constexpr Millis kOverlap = 1000;  // how long a replaced process runs beside its successor

struct Case {
  int processes = 20;
  int stated = 0;        // number of processes in the settings; 0: as many as there are
  double rate = 10;      // requests a second per process
  double burst = 1;      // factor of the rate from kBegin on
  Millis service = 100;  // mean, of a warm backend that serves one request at a time
  Millis aim = 0;        // 0: four times the service time, which is the policy's default guess
  double fall_multiple = 3;
  Millis fall = 1000;
  double cold_share = 0.3;
  Millis warm_up = 10000;
  Millis span = 4000;        // simulated time from kBegin on
  int cold = 1;              // backends that start cold at once
  bool returns = false;      // the backend was listed before, and comes back
  Millis told_within = 0;    // processes receive the list at random within this time
  Millis replace_every = 0;  // interval in which processes are replaced, one after another
  bool beside = false;       // a replaced process stays for kOverlap, with traffic to both
  int joiners = 0;           // processes that start at kBegin beside the others
  bool all_new = false;      // all processes start at kBegin
  Millis flap_every = 0;     // interval in which the backend drains and is ready again
  int restated = 0;          // processes get this number instead, a second after kBegin
  double work_spread = 0;    // of requests, relative to their mean; 0: all alike
  bool hinted = false;       // the policy is given each request's work
};

// The highest load that a cold backend had within any `fall`.
struct Worst {
  double over_n = 0;      // load over N, the load that it may get then
  double over_bound = 0;  // load over N + 2 root N + 2
  int falls = 0;          // cold backends that were overloaded
  int played = 0;         // number of cold backends simulated
  double sends = 0;       // mean number of sends to a cold backend in `span`
  void join(const Worst& other) {
    over_n = std::max(over_n, other.over_n);
    over_bound = std::max(over_bound, other.over_bound);
    sends = (sends * played + other.sends * other.played) / std::max(1, played + other.played);
    falls += other.falls, played += other.played;
  }
};

}  // namespace shorelead::cold
