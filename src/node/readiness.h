// Decides whether a starting process knows its backends well enough to accept clients, from the state of its
// pools and fleet admission. Requests no lists itself.
#pragma once

#include "node/net.h"
#include "node/routing_snapshot.h"

namespace shorelead::node {

class Readiness {
 public:
  // How long a starting process waits for a current list, in milliseconds.
  struct Timeouts {
    Millis list = 500;  // if a saved or configured list is known
    // The same where lists are pushed and discovery responds: its list counts as known from the first moment,
    // so a start without it would use outdated backends. Nine in ten starts have 6 s.
    Millis pushed_list = 5000;
    Millis with_predecessor = 3000;  // if another process of the node serves meanwhile
    // If no request may be sent by the list given at the start, because it may be out of date. Nine in ten
    // starts have 6 s. From then on requests are refused at once.
    Millis unusable_list = 5000;
  };

  Readiness(Loop& loop, const Timeouts& timeouts) : loop_(loop), timeouts_(timeouts), started_(loop.now()) {}

  // `with_predecessor`: another process of this node serves meanwhile.
  bool lists_suffice(const RoutingSnapshot& snapshot, bool with_predecessor) const;
  bool admission_suffices(const RoutingSnapshot& snapshot) const;
  // Logs once by which lists this process began to serve.
  void log_first_ready(const RoutingSnapshot& snapshot);

  Millis uptime() const { return loop_.now() - started_; }

 private:
  Loop& loop_;
  const Timeouts timeouts_;
  const Millis started_;
  bool logged_ready_ = false;
};

}  // namespace shorelead::node
