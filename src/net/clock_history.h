// Converts between wall-clock and steady time although the wall clock may be stepped, by hand or by time
// synchronization. Keeps a history of the observed offsets, so that a wall-clock timestamp of another machine
// or process maps to the right steady time. Pure: readings of both clocks are passed in. All times are in
// milliseconds; "steady" is the time of the loop, which equals Unix time at the start of the process and
// never steps.
#pragma once

#include <vector>

#include "base/millis.h"

namespace shorelead::net {

class ClockHistory {
 public:
  // Records the current offset. Cheap, and to be called often: a step is only known to lie between two
  // observations.
  void observe(Millis steady, Millis wall);

  // Returns the steady time of an event with the wall-clock timestamp `label`, as seen at `now`. After a step
  // a timestamp may match two times; the later one is returned, so that an event that may be recent counts as
  // recent. Not after `now`, except by a small difference between the clocks of machines.
  Millis to_steady(Millis label, Millis now) const;
  // Returns the wall-clock time at that steady time.
  Millis to_wall(Millis steady) const;

 private:
  struct Offset {
    Millis value = 0;  // wall time less steady time
    Millis first = 0;  // steady times at which it was observed
    Millis last = 0;
  };

  std::vector<Offset> offsets_;  // oldest first; not empty after the first observation
};

}  // namespace shorelead::net
