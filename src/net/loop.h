// The event loop of the node's single thread: POCO's reactor, extended by a clock, timers and signals.
// Exceptions from handlers are caught and logged.
//
// POCO's reactor waits in whole milliseconds, notifies every handler of each wait that ends without a
// readable socket, and would swallow a signal during its wait. So timers use a timerfd and signals a
// signalfd, which the reactor treats as readable sockets; its own time-out is not used.
#pragma once

#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/millis.h"
#include "net/clock_history.h"

namespace shorelead::net {

// Wraps a descriptor of any kind as a POCO socket, which closes it.
class Descriptor : public Poco::Net::Socket {
 public:
  explicit Descriptor(int fd);
  int fd() const { return impl()->sockfd(); }
};

class Loop : private Poco::Net::SocketReactor {
 public:
  using Task = std::function<void()>;
  using TimerId = std::uint64_t;  // 0 = none

  Loop();
  ~Loop() override;

  // Steady time, with an offset that made it equal to Unix time when the loop was created. The wall clock may
  // be stepped, so durations are not measured with it; the two functions below convert its timestamps.
  Millis now() const;
  Millis from_wall(Millis label);  // wall-clock timestamp to the time of now()
  Millis to_wall(Millis at);       // and the reverse

  TimerId at(Millis when, Task task);
  TimerId after(Millis wait, Task task) { return at(now() + wait, std::move(task)); }
  void cancel(TimerId& id);  // also sets `id` to 0

  // An event that is handled now had not occurred before this time: the poll before the one that reported it
  // began later. The process may have been suspended since, so that the event is older than its handling.
  Millis no_event_before() const { return wakeups_at_[0]; }

  // Runs `task` after the current handler has returned, before the next one.
  void later(Task task) { later_.push_back(std::move(task)); }

  // Blocks SIGTERM, SIGINT, SIGHUP and SIGUSR1 until on_signals(), and ignores SIGPIPE. Called first in a
  // process, as each of these signals would end it by default.
  static void block_signals();
  // Blocks the same signals and passes them to `handler` from the loop.
  void on_signals(std::function<void(int)> handler);

  void run() override;  // may be called once, as POCO's reactor cannot be restarted
  void stop();

  // The longest delay of a timer so far.
  Millis worst_lag() const { return worst_lag_; }
  std::uint64_t wakeups() const { return wakeups_; }

 private:
  friend class Watch;
  void run_handler(const Task& handler);  // all handlers run through this
  void onTimeout() override;
  void onIdle() override {}
  void onBusy() override;
  void on_timerfd(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void on_signalfd(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void fire_due();
  void arm_timer();
  void observe_clock();
  using OwnHandler = void (Loop::*)(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void register_descriptor(const Descriptor& descriptor, OwnHandler handler);
  void unregister_descriptor(const Descriptor& descriptor, OwnHandler handler);

  const Millis offset_;  // of now() to the steady clock
  ClockHistory clock_;
  Millis observed_at_ = 0;
  Descriptor timerfd_;
  std::unique_ptr<Descriptor> signalfd_;
  std::function<void(int)> on_signal_;
  std::map<std::pair<Millis, TimerId>, Task> timers_;
  std::unordered_map<TimerId, Millis> due_;
  TimerId last_timer_ = 0;
  Millis armed_for_ = 0;
  bool timer_failed_ = false;  // timerfd_settime failed; the reactor's time-out replaces the timer
  std::vector<Task> later_;
  bool in_handler_ = false;
  Millis worst_lag_ = 0;
  std::uint64_t wakeups_ = 0;
  // Of the current turn and the two before it, the oldest first. The poll that the turn in the middle
  // followed began after the oldest.
  std::array<Millis, 3> wakeups_at_{};
};

}  // namespace shorelead::net
