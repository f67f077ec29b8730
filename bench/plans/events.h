// What happens in a simulated fleet, in which order, and the figures of its clients.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "base/millis.h"

namespace shorelead::plans::sim {

inline constexpr Millis kAim = 150;       // an answer within this earns its worth,
inline constexpr Millis kDeadline = 600;  // later, up to here,
inline constexpr double kLate = 0.3;      // this share of it
inline constexpr int kRepeats = 2;        // of a client; each with this chance
inline constexpr double kRepeatsAgain = 0.7;
inline constexpr Millis kPass = 0.5;                  // a process needs for a request
inline constexpr Millis kHotPass = 4;                 // the hot one, with other work to do
inline constexpr Millis kBacklog = 300;               // and turns away as broken what would wait longer
inline constexpr int kKeys = 3000;                    // clients of a tenant
inline constexpr double kShares[] = {0.2, 0.3, 0.5};  // of the plans
inline constexpr double kBetter = 0.3;                // of the better class
inline constexpr const char* kTenants[] = {"g", "s", "b"};

enum class Kind { kArrive, kTry, kPass, kDone, kDeadline, kReport, kRecord, kLook, kPlan, kRoom, kFault };

struct Event {
  Millis at;
  std::uint64_t order;  // of two at one moment
  Kind kind;
  int a = 0;
  int b = 0;
  bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
};

struct Request {
  int plan, request_class;
  double coin;
  Millis came;  // this try
  int tries = 0;
  int process = 0;
  int incarnation = 0;
  int backend = -1;
  int number = 0;  // of the try: what belongs to an earlier one is over
  bool open = false;
  bool last_pool = false;
};

class Events {
 public:
  void push(Millis at, Kind kind, int a = 0, int b = 0) { queue_.push({at, ++pushed_, kind, a, b}); }
  bool any_before(Millis end) const { return !queue_.empty() && queue_.top().at < end; }
  Event pop() {
    const Event event = queue_.top();
    queue_.pop();
    return event;
  }

 private:
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::uint64_t pushed_ = 0;
};

}  // namespace shorelead::plans::sim
