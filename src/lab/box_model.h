// How long a stand-in box takes: cores, speed, a queue with a limit, a cold start, stalls, and the fall of a
// cold box that is sent too much. Takes the time with every call and gives back what happened; it must never
// do I/O, read a clock or draw a random number.
//
// Service is first come, first served on `cores` servers of equal speed (an M/G/c/K queue with the arrivals
// and the work that the caller brings). A cold box's speed rises evenly from cold_from to 1 over warm_up and
// counts for a request as it is when the request begins.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/millis.h"

namespace shorelead::lab {

struct BoxSpec {
  int cores = 1;
  double speed = 1;            // of a standard core
  int queue = 8;               // requests that may wait
  Millis connection_work = 0;  // on a standard core, with the first request on a connection
  double cold_from = 1;        // share of its speed that a box starts with
  Millis warm_up = 0;
  double fall_multiple = 0;  // sent more than this multiple of its present capacity ...
  Millis fall_span = 0;      // ... within any span of this length, a cold box falls over; 0 = never
};

class BoxModel {
 public:
  using Job = std::uint64_t;
  enum class Verdict { kBegan, kQueued, kFull, kFell };
  struct Step {
    Job job = 0;
    bool done = false;  // else it has just begun
    Millis at = 0;
  };
  struct Load {
    int in_hand = 0;
    int waiting = 0;
    double busy = 0;  // share of the cores in use
  };

  // Born at that moment and cold then, or warm from the start.
  BoxModel(const BoxSpec& spec, Millis born, bool cold);

  // A request with so much work reaches the box, from that node.
  Verdict arrive(Millis now, Job job, Millis work, int from);
  // Nobody waits for it any more: one that has not begun never will. True if it was still waiting.
  bool cancel(Job job);
  // Everything that happened up to now, in order.
  std::vector<Step> advance(Millis now);
  std::optional<Millis> next() const;  // when advance() will have something; none while nothing runs

  void stall(Millis now, Millis until);              // nothing begins or ends in between
  void set_speed(double factor) { slow_ = factor; }  // of its own speed, for what begins from now on

  double warmth(Millis now) const;  // share of its full speed
  bool cold(Millis now) const { return warmth(now) < 1; }
  bool fallen() const { return fallen_; }
  const std::map<int, double>& pushed() const { return pushed_; }  // by node, when it fell
  Load load() const;

 private:
  struct Running {
    Job job = 0;
    Millis ends = 0;
  };
  struct Waiting {
    Job job = 0;
    Millis work = 0;
  };
  struct Sent {
    Millis at = 0;
    Millis work = 0;
    int from = 0;
  };

  void begin(Millis at, Job job, Millis work);
  bool falls(Millis now);
  double capacity(Millis from, Millis to) const;  // work it can do in between

  const BoxSpec spec_;
  const Millis born_;
  const bool cold_;
  std::vector<Running> running_;
  std::deque<Waiting> waiting_;
  std::deque<Sent> sent_;  // while cold
  std::map<int, double> pushed_;
  double slow_ = 1;
  Millis stalled_until_ = 0;
  bool fallen_ = false;
};

}  // namespace shorelead::lab
