// The lab's one clock, for clients, boxes, discovery and nodes' events alike: steady, and counted so that it
// read as Unix time when the process began. Also how late the lab itself was, by which a run is void. It must
// never step.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <vector>

#include "base/millis.h"

namespace shorelead::lab {

Millis clock_now();
std::chrono::steady_clock::time_point clock_point(Millis at);

// By how much timers and sends came after the time they were meant for.
class Lateness {
 public:
  void note(Millis late) { all_.push_back(static_cast<float>(late > 0 ? late : 0)); }
  Millis worst() const;
  Millis quantile(double share) const;

 private:
  std::vector<float> all_;
};

// A timer that can be set again and again and tells how late it fired.
class Alarm {
 public:
  explicit Alarm(boost::asio::io_context& context) : timer_(context) {}

  template <typename Task>
  void at(Millis when, Lateness* lateness, Task task) {
    timer_.expires_at(clock_point(when));
    timer_.async_wait(
        [when, lateness, task = std::move(task)](const boost::system::error_code& error) mutable {
          if (error) return;
          if (lateness != nullptr) lateness->note(clock_now() - when);
          task();
        });
  }
  void cancel() { timer_.cancel(); }

 private:
  boost::asio::steady_timer timer_;
};

}  // namespace shorelead::lab
