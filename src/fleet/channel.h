// All state shared by the control thread and the traffic thread: snapshots from control to traffic, counters
// with a single writer from traffic to control, and a wakeup event for each. Neither thread waits for the
// other.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "base/millis.h"
#include "fleet/cells.h"
#include "fleet/mailbox.h"
#include "fleet/member_events.h"
#include "fleet/wakeup_event.h"

namespace shorelead::fleet {

// The time until which one incarnation's shares may be spent. Only grows, until it becomes 0 for good when
// the incarnation ends.
struct Validity {
  std::uint64_t incarnation = 0;
  std::atomic<double> until{0};  // CLOCK_BOOTTIME, ms
};

struct Issue {
  std::shared_ptr<const Snapshot> snapshot;
  std::shared_ptr<const Validity> validity;  // of the snapshot's incarnation
};

struct Channel {
  Channel(std::size_t budgets, std::vector<int> ranks) : traffic(budgets, std::move(ranks)) {}

  Mailbox<Issue> issues;       // control thread to traffic thread
  TrafficCells traffic;        // written by the traffic thread
  ControlCells control;        // written by the control thread
  WakeupEvent for_traffic;     // there is a new issue
  WakeupEvent for_control;     // an issue was taken, or `ending` was set
  std::atomic<int> ending{0};  // 1: leave gracefully; 2: stop
};

}  // namespace shorelead::fleet
