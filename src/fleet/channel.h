// What the control's thread and the traffic's share, all of it: snapshots one way, counters with a single
// writer the other, a bell for each. Owns these; nothing else crosses between the two, and neither ever waits
// for the other.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "base/millis.h"
#include "fleet/bell.h"
#include "fleet/cells.h"
#include "fleet/mailbox.h"
#include "fleet/member_events.h"

namespace shorelead::fleet {

// Until when one incarnation's shares may be spent. It only grows, and is 0 for good once that has ended.
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

  Mailbox<Issue> issues;       // the control puts, the traffic takes
  TrafficCells traffic;        // the traffic writes
  ControlCells control;        // the control writes
  Bell for_traffic;            // there is an issue
  Bell for_control;            // one was taken, or the end is asked for
  std::atomic<int> ending{0};  // 1: leave in good order; 2: stop
};

}  // namespace shorelead::fleet
