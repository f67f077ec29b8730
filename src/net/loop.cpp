#include "net/loop.h"

#include <Poco/NObserver.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <spdlog/spdlog.h>
#include <sys/signalfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <system_error>
#include <thread>

#include "net/call_errors.h"

namespace shorelead::net {
namespace {

using Poco::Net::ReadableNotification;

constexpr long kIdleWaitMs = 10000;  // time-out of POCO's reactor; nothing depends on it
constexpr int kMaxRegisterAttempts = 1000;
constexpr long kFailedTimerWaitMs = 1;      // the same while the timer could not be set
constexpr Millis kClockCheckInterval = 50;  // for steps of the wall clock

template <typename Clock>
Millis read_clock() {
  return std::chrono::duration<double, std::milli>(Clock::now().time_since_epoch()).count();
}

sigset_t handled_signals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGUSR1}) sigaddset(&set, signal);
  return set;
}

int checked(int fd, const char* what) {
  if (fd < 0) throw std::system_error(errno, std::generic_category(), what);
  return fd;
}

}  // namespace

Descriptor::Descriptor(int fd) : Socket(new Poco::Net::StreamSocketImpl(fd)) {}

Loop::Loop()
    : SocketReactor(Poco::Timespan(0, kIdleWaitMs * 1000)),
      offset_(read_clock<std::chrono::system_clock>() - read_clock<std::chrono::steady_clock>()),
      timerfd_(checked(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC), "timerfd_create")) {
  observe_clock();
  register_descriptor(timerfd_, &Loop::on_timerfd);
}

Loop::~Loop() {
  unregister_descriptor(timerfd_, &Loop::on_timerfd);
  if (signalfd_) unregister_descriptor(*signalfd_, &Loop::on_signalfd);
}

// For the loop's own descriptors, without which it cannot run: blocks at the start until the system has
// memory for them. Other sockets are registered by a Watch, which retries from a timer.
void Loop::register_descriptor(const Descriptor& descriptor, OwnHandler handler) {
  for (int n = 1;; ++n) {
    try {
      return addEventHandler(descriptor, Poco::NObserver<Loop, ReadableNotification>(*this, handler));
    } catch (const Poco::Exception& error) {
      if (n == kMaxRegisterAttempts) throw;
      spdlog::warn("loop: a descriptor cannot be watched now: {}", error.displayText());
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
}

void Loop::unregister_descriptor(const Descriptor& descriptor, OwnHandler handler) {
  try {
    removeEventHandler(descriptor, Poco::NObserver<Loop, ReadableNotification>(*this, handler));
  } catch (const Poco::Exception& error) {
    spdlog::debug("loop: a descriptor was not watched: {}", error.displayText());
  }
}

Millis Loop::now() const { return offset_ + read_clock<std::chrono::steady_clock>(); }

// The process may be suspended between the two readings, which would look like a step of the clock, so only a
// pair that was read within kMaxReadGap is used.
void Loop::observe_clock() {
  constexpr Millis kMaxReadGap = 10;
  constexpr int kMaxAttempts = 3;
  observed_at_ = now();
  for (int n = 0; n < kMaxAttempts; ++n) {
    const Millis before = now();
    const auto wall = read_clock<std::chrono::system_clock>();
    if (now() - before < kMaxReadGap) return clock_.observe(before, wall);
  }
}

Millis Loop::from_wall(Millis label) {
  observe_clock();
  return clock_.to_steady(label, now());
}

Millis Loop::to_wall(Millis at) {
  observe_clock();
  return clock_.to_wall(at);
}

Loop::TimerId Loop::at(Millis when, Task task) {
  const TimerId id = ++last_timer_;
  timers_.emplace(std::pair{when, id}, std::move(task));
  due_.emplace(id, when);
  arm_timer();
  return id;
}

void Loop::cancel(TimerId& id) {
  const auto it = due_.find(id);
  if (it != due_.end()) {
    timers_.erase({it->second, id});
    due_.erase(it);
  }
  id = 0;
}

// Sets the timer only to earlier times: a needless wake-up costs less than a system call for each cancel.
void Loop::arm_timer() {
  if (timers_.empty()) return;
  const Millis first = timers_.begin()->first.first;
  if (armed_for_ > 0 && armed_for_ <= first) return;
  armed_for_ = first;
  const double steady = std::max(0.001, first - offset_);
  itimerspec spec{};
  spec.it_value.tv_sec = static_cast<time_t>(steady / 1000);
  spec.it_value.tv_nsec =
      static_cast<long>((steady - static_cast<double>(spec.it_value.tv_sec) * 1000) * 1e6);
  const bool failed = ::timerfd_settime(timerfd_.fd(), TFD_TIMER_ABSTIME, &spec, nullptr) != 0;
  if (failed) armed_for_ = 0;
  if (failed == std::exchange(timer_failed_, failed)) return;
  setTimeout(Poco::Timespan(0, (failed ? kFailedTimerWaitMs : kIdleWaitMs) * 1000));
}

void Loop::onTimeout() {
  if (timer_failed_) fire_due();
}

void Loop::onBusy() {
  ++wakeups_;
  wakeups_at_ = {wakeups_at_[1], wakeups_at_[2], now()};
  if (timer_failed_) arm_timer();
}

void Loop::fire_due() {
  armed_for_ = 0;
  // Timers set by a task that are due already wait for the next wake-up, so that sockets do not starve.
  const Millis reached = now();
  if (reached - observed_at_ >= kClockCheckInterval) observe_clock();
  while (!timers_.empty() && timers_.begin()->first.first <= reached) {
    const auto first = timers_.begin();
    worst_lag_ = std::max(worst_lag_, reached - first->first.first);
    const Task task = std::move(first->second);
    due_.erase(first->first.second);
    timers_.erase(first);
    run_handler(task);
  }
  arm_timer();
}

void Loop::on_timerfd(const Poco::AutoPtr<ReadableNotification>&) {
  std::uint64_t count = 0;
  const ssize_t got = uninterrupted([&] { return ::read(timerfd_.fd(), &count, sizeof count); });
  if (got < 0 && errno != EAGAIN) spdlog::error("timer: read failed: {}", std::strerror(errno));
  fire_due();
}

void Loop::block_signals() {
  const sigset_t set = handled_signals();
  sigprocmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a write beyond the limit of a file's size fails instead
}

void Loop::on_signals(std::function<void(int)> handler) {
  block_signals();
  const sigset_t set = handled_signals();
  on_signal_ = std::move(handler);
  signalfd_ =
      std::make_unique<Descriptor>(checked(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC), "signalfd"));
  register_descriptor(*signalfd_, &Loop::on_signalfd);
}

void Loop::on_signalfd(const Poco::AutoPtr<ReadableNotification>&) {
  signalfd_siginfo info{};
  while (true) {
    const ssize_t got = uninterrupted([&] { return ::read(signalfd_->fd(), &info, sizeof info); });
    if (got != static_cast<ssize_t>(sizeof info)) return;
    const int signal = static_cast<int>(info.ssi_signo);
    run_handler([this, signal] { on_signal_(signal); });
  }
}

void Loop::run_handler(const Task& handler) {
  const bool outermost = !std::exchange(in_handler_, true);
  const auto guarded = [](const Task& task) {
    try {
      task();
    } catch (const std::exception& error) {
      spdlog::error("handler failed: {}", error.what());
    }
  };
  guarded(handler);
  if (!outermost) return;
  for (std::size_t n = 0; n < later_.size(); ++n) {
    const Task task = std::move(later_[n]);  // the task may add more
    guarded(task);
  }
  later_.clear();
  in_handler_ = false;
}

void Loop::run() {
  run_handler([] {});  // tasks of later() from before the start
  SocketReactor::run();
}

void Loop::stop() { SocketReactor::stop(); }

}  // namespace shorelead::net
