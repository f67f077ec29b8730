// World time: a queue of events, in a deterministic order for each seed.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/millis.h"

namespace shorelead::fleet::model {

class Timeline {
 public:
  Millis now() const { return now_; }
  void in(Millis span, std::function<void()> run) { events_.push({now_ + span, ++order_, std::move(run)}); }

  // Runs the events up to `until`, while `goes_on` returns true.
  void run(Millis until, const std::function<bool()>& goes_on) {
    while (!events_.empty() && events_.top().at <= until && goes_on()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = until;
  }

 private:
  struct Event {
    Millis at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  Millis now_ = 0;
};

}  // namespace shorelead::fleet::model
