// State machine for draining a node's clients, on an admin call, on SIGTERM or after a successor took over.
// Pure: takes events with their time and returns the state; connections are closed elsewhere. Accepted
// requests always run to their end.
#pragma once

#include "base/millis.h"

namespace shorelead::manage {

enum class DrainState {
  kServing,   // normal operation
  kDraining,  // not ready; each response closes its connection, idle connections may send one more request
  kDrained,   // idle connections are closed at once; accepted requests continue
};

const char* name_of(DrainState state);

class Drain {
 public:
  // After a drain call the platform stops sending within 0.2 s of the first "not ready". 4 s after the call
  // no idle connection may be open, nor one with a request of the last 2 s. So idle connections get 1.5 s for
  // one more request, whose response announces the close.
  static constexpr Millis kIdleTimeAfterCall = 1500;
  // At shutdown the last request needs its whole deadline before SIGKILL, 0.7 s after the longest deadline.
  static constexpr Millis kIdleTimeAtShutdown = 350;
  static constexpr Millis kNever = 1e18;

  void drain(Millis now);      // by admin call; no effect while draining
  bool resume();               // by admin call; false if the process is shutting down
  void replaced(Millis now);   // a successor serves: idle connections stay open until the shutdown
  void shut_down(Millis now);  // cannot be undone

  DrainState state(Millis now) const;
  bool serving() const { return since_ == 0; }
  bool shutting_down() const { return shutting_down_; }
  // Time at which draining becomes drained, or kNever; 0 while serving.
  Millis drained_at() const { return idle_until_; }

 private:
  Millis since_ = 0;
  Millis idle_until_ = 0;
  bool shutting_down_ = false;
};

}  // namespace shorelead::manage
