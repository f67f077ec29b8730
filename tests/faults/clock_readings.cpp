#include "faults/clock_readings.h"

#include <atomic>
#include <mutex>
#include <utility>

#include "faults/fault_plan.h"

namespace shorelead::faults {
namespace {

struct AtReading {
  std::mutex mutex;
  int left = 0;
  std::function<void()> then;
};

// Never destroyed, as clocks are read during the exit of the process.
AtReading& at_reading() {
  static AtReading* const one = new AtReading;
  return *one;
}

std::atomic<bool> armed{false};

// Returns the function to run, if this is the reading it was set for.
std::function<void()> due() {
  AtReading& at = at_reading();
  const std::lock_guard lock(at.mutex);
  if (!armed || --at.left > 0) return {};
  armed = false;
  return std::exchange(at.then, {});
}

}  // namespace

void at_clock_reading(int nth, std::function<void()> then) {
  AtReading& at = at_reading();
  const std::lock_guard lock(at.mutex);
  at.left = nth;
  at.then = std::move(then);
  armed = true;
}

void clock_was_read() {
  if (!armed.load(std::memory_order_relaxed) || !thread_has_faults()) return;
  if (const auto then = due()) then();
}

}  // namespace shorelead::faults
