// How a process lets go of its clients: drained by hand, replaced by another process of its node, or ending.
// Owns the drain's state and the order of an end: it must never end without having answered what it had
// taken, nor make an end wait for the store.
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
    // Gives back what is shared with other processes; whether that is done.
    std::function<bool()> give_back;
  };

  // `accept_on`: after the word to end clients go on coming for so long.
  GracefulShutdown(Loop& loop, Millis accept_on, Host host)
      : loop_(loop), accept_on_(accept_on), host_(std::move(host)) {}
  ~GracefulShutdown() { loop_.cancel(drain_timer_); }
  GracefulShutdown(const GracefulShutdown&) = delete;
  GracefulShutdown& operator=(const GracefulShutdown&) = delete;

  bool serving() const { return drain_.serving(); }
  bool shutting_down() const { return drain_.shutting_down(); }
  void drain();
  bool resume();  // false: it is about to end
  void replaced();
  // `longest_deadline`: what is under way may take so long. `replaced`: nobody comes here any more.
  void shut_down(Millis longest_deadline, bool replaced);

 private:
  void apply_drain_state();  // as the drain's state says, now and when it changes
  void finish_when_empty(Millis deadline);
  void finish(Millis deadline);

  Loop& loop_;
  const Millis accept_on_;
  const Host host_;
  manage::Drain drain_;
  Loop::TimerId drain_timer_ = 0;
};

}  // namespace shorelead::node
