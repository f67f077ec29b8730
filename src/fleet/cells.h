// What one thread counts and another reads: cells with a single writer each. Owns the figures that cross
// between the traffic's thread and the control's; nobody but its writer may ever write a cell.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace shorelead::fleet {

// A figure with one writer: no read-modify-write is needed. Readers see some value that it had.
template <typename T>
class Cell {
 public:
  void add(T by) { set(value_.load(std::memory_order_relaxed) + by); }
  void set(T value) { value_.store(value, std::memory_order_relaxed); }
  T get() const { return value_.load(std::memory_order_relaxed); }
  // For a figure that says that others were written before it.
  void announce(T value) { value_.store(value, std::memory_order_release); }
  T heard() const { return value_.load(std::memory_order_acquire); }

 private:
  static_assert(std::atomic<T>::is_always_lock_free);
  std::atomic<T> value_{};
};

// Of one budget, counted since the process began; `in_use` and `beyond_reserve` as they are now, `peak` of
// late: the most in use in the last half to whole second before `peak_at`.
struct BudgetCells {
  Cell<std::uint64_t> asked;
  Cell<std::uint64_t> spent;
  Cell<std::uint64_t> bound_by_share;
  Cell<std::uint64_t> bound_by_reserve;  // the share had run out
  Cell<double> in_use;
  Cell<double> beyond_reserve;
  Cell<double> peak;
  Cell<double> peak_at;  // CLOCK_BOOTTIME, ms
};

// Of one rank, counted since the process began; as RankLoad.
struct RankCells {
  Cell<std::uint64_t> offered;
  Cell<std::uint64_t> taken;
  Cell<std::uint64_t> in_time;
  Cell<std::uint64_t> refused;
  Cell<std::uint64_t> failed;
};

// The traffic's thread writes, the control's reads.
struct TrafficCells {
  TrafficCells(std::size_t budget_count, std::vector<int> rank_names)
      : budgets(budget_count), ranks(std::move(rank_names)), loads(ranks.size()) {}

  std::vector<BudgetCells> budgets;  // in the configuration's order
  const std::vector<int> ranks;
  std::vector<RankCells> loads;     // in the order of `ranks`
  Cell<double> room;                // share of the backends' capacity that is unused
  Cell<std::uint64_t> slots_quiet;  // generation whose closed slots are quiet, or the last before it
  Cell<std::uint64_t> generation;   // of the snapshot in force; announced once all of it is
};

// The control's thread writes, whoever shows figures reads.
struct ControlCells {
  Cell<std::uint64_t> epoch, incarnation, elected;  // as they are now; `elected` 0 or 1
  Cell<std::uint64_t> joined, ended, lapsed, refused, histories, epochs, older, name_taken;
  Cell<std::uint64_t> elections, resigned, plans, unreadable, held;
  Cell<std::uint64_t> calls, calls_lost, watches, deaf;
  Cell<std::uint64_t> left;  // 1: it left in good order
};

}  // namespace shorelead::fleet
