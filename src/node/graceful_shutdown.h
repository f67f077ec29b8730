// Draining and shutdown of a process: by an operator's call, after another process of the node took over, or
// on SIGTERM. Owns the drain state and the order of the steps. Every accepted request is answered before the
// process ends, and the end does not wait for the fleet's store beyond a time-out.
#pragma once

#include <functional>

#include "manage/drain.h"
#include "node/front.h"
#include "node/net.h"

namespace shorelead::node {

class GracefulShutdown {
 public:
  struct Host {
    std::function<Front&()> front;
    std::function<std::size_t()> open_requests;
    // Returns leases and shares to the fleet; true once that is done.
    std::function<bool()> give_back;
  };

  // `accept_on`: time after shut_down() for which new clients are still accepted.
  GracefulShutdown(Loop& loop, Millis accept_on, Host host)
      : loop_(loop), accept_on_(accept_on), host_(std::move(host)) {}
  ~GracefulShutdown() { loop_.cancel(drain_timer_); }
  GracefulShutdown(const GracefulShutdown&) = delete;
  GracefulShutdown& operator=(const GracefulShutdown&) = delete;

  bool serving() const { return drain_.serving(); }
  bool shutting_down() const { return drain_.shutting_down(); }
  void drain();
  bool resume();  // false if the process is shutting down
  void replaced();
  // `longest_deadline`: time that requests in progress may take. `replaced`: another process accepts clients.
  void shut_down(Millis longest_deadline, bool replaced);

 private:
  void apply_drain_state();  // to the front, now and at the next change of the state
  void finish_when_empty(Millis deadline);
  void finish(Millis deadline);

  Loop& loop_;
  const Millis accept_on_;
  const Host host_;
  manage::Drain drain_;
  Loop::TimerId drain_timer_ = 0;
};

}  // namespace shorelead::node
