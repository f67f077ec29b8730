// How a node lets go of its clients: one machine for the admin server's call, for SIGTERM and for a successor
// that took over. Pure: calls with the time in, and what is to be done with a connection out. It must never
// close anything itself, and never end a request that was taken.
#pragma once

#include "base/millis.h"

namespace shorelead::manage {

enum class DrainState {
  kServing,   // as always
  kDraining,  // told to let go: not ready, every answer the last on its connection, unused connections may
              // still bring one more request each
  kDrained,   // unused connections are closed at once; what was taken goes on to its end
};

const char* name_of(DrainState state);

class Drain {
 public:
  // By call the front stops within 0.2 s of the first no, and 4 s after the call nothing idle may be held,
  // nor a request of the last 2 s: so unused connections have a second and a half for one more request, whose
  // answer says that it is the last.
  static constexpr Millis kIdleTimeAfterCall = 1500;
  // Before an end, the last request needs its whole deadline before the kill 0.7 s after the longest one.
  static constexpr Millis kIdleTimeAtShutdown = 350;
  static constexpr Millis kNever = 1e18;

  void drain(Millis now);  // by call; nothing if it drains already
  bool resume();           // by call; false if the process is about to end
  void replaced(
      Millis now);  // a successor takes clients now: unused connections stay until it is time to leave
  void shut_down(Millis now);  // for good

  DrainState state(Millis now) const;
  bool serving() const { return since_ == 0; }
  bool shutting_down() const { return shutting_down_; }
  Millis drained_at() const {
    return idle_until_;
  }  // when draining becomes drained, or kNever; 0 while serving

 private:
  Millis since_ = 0;
  Millis idle_until_ = 0;
  bool shutting_down_ = false;
};

}  // namespace shorelead::manage
