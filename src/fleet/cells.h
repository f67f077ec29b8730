// Counters and gauges that one thread writes and others read: the values exchanged between the traffic thread
// and the control thread. Each cell has exactly one writer.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace shorelead::fleet {

// A value with one writer, so no atomic read-modify-write is needed. Readers may see an older value.
template <typename T>
class Cell {
 public:
  void add(T by) { set(value_.load(std::memory_order_relaxed) + by); }
  void set(T value) { value_.store(value, std::memory_order_relaxed); }
  T get() const { return value_.load(std::memory_order_relaxed); }
  // Release and acquire: who reads the value with `load_acquire` also sees all writes made before
  // `store_release`.
  void store_release(T value) { value_.store(value, std::memory_order_release); }
  T load_acquire() const { return value_.load(std::memory_order_acquire); }

 private:
  static_assert(std::atomic<T>::is_always_lock_free);
  std::atomic<T> value_{};
};

// One budget. The integers are counters since the start of the process; `in_use` and `beyond_reserve` are
// current values. `peak` is the highest concurrent use within the 0.5 to 1 s before `peak_at`.
struct BudgetCells {
  Cell<std::uint64_t> asked;
  Cell<std::uint64_t> spent;
  Cell<std::uint64_t> bound_by_share;    // denied while the share was valid
  Cell<std::uint64_t> bound_by_reserve;  // denied after the share had expired
  Cell<double> in_use;
  Cell<double> beyond_reserve;
  Cell<double> peak;
  Cell<double> peak_at;  // CLOCK_BOOTTIME, ms
};

// One rank, counted since the start of the process; the fields are those of RankLoad (plan.h).
struct RankCells {
  Cell<std::uint64_t> offered;
  Cell<std::uint64_t> taken;
  Cell<std::uint64_t> in_time;
  Cell<std::uint64_t> refused;
  Cell<std::uint64_t> failed;
};

// Written by the traffic thread, read by the control thread.
struct TrafficCells {
  TrafficCells(std::size_t budget_count, std::vector<int> rank_names)
      : budgets(budget_count), ranks(std::move(rank_names)), loads(ranks.size()) {}

  std::vector<BudgetCells> budgets;  // in the configuration's order
  const std::vector<int> ranks;
  std::vector<RankCells> loads;     // in the order of `ranks`
  Cell<double> room;                // unused fraction of the backends' capacity, 0 to 1
  Cell<std::uint64_t> slots_quiet;  // last generation with no request in flight in its closed slots
  Cell<std::uint64_t> generation;   // of the snapshot in force; stored after it has been applied
};

// Written by the control thread, read for the metrics. The rows of counters are from MemberCounters
// (member.h), PlannerCounters (planner.h), and the counters of Store and PlanWatch.
struct ControlCells {
  Cell<std::uint64_t> epoch, incarnation, elected;  // current values; `elected` is 0 or 1
  Cell<std::uint64_t> joined, ended, lapsed, refused, histories, epochs, older, name_taken;
  Cell<std::uint64_t> elections, resigned, plans, unreadable, held;
  Cell<std::uint64_t> calls, calls_lost, watches, deaf;
  Cell<std::uint64_t> left;  // 1: it has left gracefully
};

}  // namespace shorelead::fleet
