// Whether this process knows its backends well enough to take clients, and by what. Owns when it began and
// whether it has said so; it must never ask for a list, nor look at anything but what pools and fleet
// admissions say.
#pragma once

#include "node/net.h"
#include "node/routing_snapshot.h"

namespace shorelead::node {

class Readiness {
 public:
  // How long a process waits at its start for a list of now, in milliseconds.
  struct Waits {
    Millis list = 500;  // where one of earlier is known
    // The same where lists are pushed and somebody answers there: what is there counts as told from the first
    // moment. Nine in ten starts have 6 s.
    Millis pushed_list = 5000;
    Millis with_predecessor = 3000;  // where another process serves meanwhile
    // Where nothing may be sent by the list given at the start, as it may be out of date and no health checks
    // are allowed: nine in ten starts have 6 s. From then on clients are refused at once.
    Millis unusable_list = 5000;
  };

  Readiness(Loop& loop, const Waits& waits) : loop_(loop), waits_(waits), started_(loop.now()) {}

  // `with_predecessor`: another process of this node serves meanwhile.
  bool lists_suffice(const RoutingSnapshot& snapshot, bool with_predecessor) const;
  bool admission_suffices(const RoutingSnapshot& snapshot) const;
  // Says in the log, once, by which lists this process began to take clients.
  void log_first_ready(const RoutingSnapshot& snapshot);

  Millis uptime() const { return loop_.now() - started_; }

 private:
  Loop& loop_;
  const Waits waits_;
  const Millis started_;
  bool logged_ready_ = false;
};

}  // namespace shorelead::node
