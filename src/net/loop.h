// The node's one thread: POCO's reactor with a clock, timers and signals around it. It owns the registration
// of every socket and the time at which anything happens. It must never decide anything, never block, and let
// no exception out of a handler.
//
// POCO's reactor waits in whole milliseconds, tells every handler of each wait that ended without a readable
// socket, and would swallow a signal in its wait. So timers come from a timerfd and signals from a signalfd,
// both of them ordinary readable sockets to it; its own time-out is left idle.
#pragma once

#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/SocketReactor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "base/millis.h"
#include "net/clock_history.h"

namespace shorelead::net {

// A descriptor of any kind as a socket of POCO's, which closes it.
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

  // Steady, and counted so that it read as Unix time when the loop was made. The wall clock may be stepped,
  // so no span is measured by it, and what it labels elsewhere goes through the two below.
  Millis now() const;
  Millis from_wall(Millis label);  // the time by now() of what the wall clock labelled so
  Millis to_wall(Millis at);       // and back

  TimerId at(Millis when, Task task);
  TimerId after(Millis wait, Task task) { return at(now() + wait, std::move(task)); }
  void cancel(TimerId& id);  // and sets it to 0

  // Done once the handler at hand has returned, before the next one.
  void later(Task task) { later_.push_back(std::move(task)); }

  // From here on SIGTERM, SIGINT, SIGHUP and SIGUSR1 wait for on_signals(), and a write to a connection that
  // has ended raises none. The first thing of a process: by default each of them ends it.
  static void block_signals();
  // SIGTERM, SIGINT, SIGHUP and SIGUSR1 are blocked for the process and come here instead.
  void on_signals(std::function<void(int)> handler);

  void run() override;  // once: POCO's reactor does not start again after it was stopped
  void stop();

  // How late timers fired at worst, for the counters.
  Millis worst_lag() const { return worst_lag_; }
  std::uint64_t wakeups() const { return wakeups_; }

 private:
  friend class Watch;
  void run_handler(const Task& handler);  // every handler runs through this
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

  const Millis offset_;  // of the clock above the steady clock
  ClockHistory clock_;
  Millis observed_at_ = 0;
  Descriptor timerfd_;
  std::unique_ptr<Descriptor> signalfd_;
  std::function<void(int)> on_signal_;
  std::map<std::pair<Millis, TimerId>, Task> timers_;
  std::unordered_map<TimerId, Millis> due_;
  TimerId last_timer_ = 0;
  Millis armed_for_ = 0;
  bool timer_failed_ = false;  // the timer could not be set: the reactor's own time-out stands in for it
  std::vector<Task> later_;
  bool in_handler_ = false;
  Millis worst_lag_ = 0;
  std::uint64_t wakeups_ = 0;
};

}  // namespace shorelead::net
