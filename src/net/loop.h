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

  // Steady, and counted so that it read as Unix time when the loop was made: times of birth in lists need no
  // conversion, and the system's clock may step.
  Millis now() const;

  TimerId at(Millis when, Task task);
  TimerId after(Millis wait, Task task) { return at(now() + wait, std::move(task)); }
  void cancel(TimerId& id);  // and sets it to 0

  // Done once the handler at hand has returned, before the next one.
  void later(Task task) { later_.push_back(std::move(task)); }

  // SIGTERM, SIGINT, SIGHUP and SIGUSR1 are blocked for the process and come here instead.
  void on_signals(std::function<void(int)> handler);

  void run() override;  // once: POCO's reactor does not start again after it was stopped
  void stop();

  // How late timers fired at worst, for the counters.
  Millis worst_lag() const { return worst_lag_; }
  std::uint64_t wakeups() const { return wakeups_; }

 private:
  friend class Watch;
  void enter(const Task& handler);  // every handler runs through this
  void onTimeout() override {}
  void onIdle() override {}
  void onBusy() override { ++wakeups_; }
  void on_timerfd(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void on_signalfd(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void fire_due();
  void arm();

  const Millis offset_;  // of the clock above the steady clock
  Descriptor timerfd_;
  std::unique_ptr<Descriptor> signalfd_;
  std::function<void(int)> on_signal_;
  std::map<std::pair<Millis, TimerId>, Task> timers_;
  std::unordered_map<TimerId, Millis> due_;
  TimerId last_timer_ = 0;
  Millis armed_ = 0;
  std::vector<Task> later_;
  bool inside_ = false;
  Millis worst_lag_ = 0;
  std::uint64_t wakeups_ = 0;
};

// One socket in the reactor, for as long as this stands. Reads are always of interest; writes only on demand,
// or the reactor would spin.
class Watch {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    virtual void on_readable() = 0;
    virtual void on_writable() {}
    virtual void on_error() { on_readable(); }
  };

  Watch(Loop& loop, const Poco::Net::Socket& socket, Handler& handler, bool reading, bool writing);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  void want_read(bool wanted);
  void want_write(bool wanted);
  bool reads() const { return reading_; }

 private:
  void enroll(bool reading, bool writing);
  void leave();
  void readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
  void writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&);
  void error(const Poco::AutoPtr<Poco::Net::ErrorNotification>&);

  Loop& loop_;
  Poco::Net::Socket socket_;
  Handler& handler_;
  bool reading_ = false;
  bool writing_ = false;
};

}  // namespace shorelead::net
