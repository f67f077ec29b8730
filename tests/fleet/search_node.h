// One state of a small fleet for the exhaustive search: three processes, one concurrency budget of two units,
// one slot. Time advances in steps; each order of message deliveries is explored as states of its own.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/member.h"
#include "fleet/model_checks.h"
#include "fleet/model_process.h"
#include "fleet/model_store.h"
#include "fleet/planner.h"

namespace shorelead::fleet::model {

inline constexpr Millis kStep = 1000;
inline constexpr int kCells = 3;

Sharing search_sharing();
std::vector<Budget> search_budgets();

struct Cell {
  Cell(int number, const std::shared_ptr<PlanShaper>& shaper);

  Member core;
  Planner plans;
  std::shared_ptr<const Snapshot> latest = std::make_shared<const Snapshot>();
  std::shared_ptr<const Snapshot> taken = latest;  // in force on the traffic thread
  std::uint64_t incarnation = 0;
  Millis valid_until = 0;
  double demand = 0;
  bool there = false;  // started and not killed
  bool paused = false;
  bool slow = false;         // its messages take any time, in any order; otherwise none
  bool lags = false;         // its traffic may use an older snapshot; otherwise the latest
  std::uint64_t looked = 0;  // modification revision of the plan last seen, or arriving
};

struct Message {
  int process;
  AnyCall call;                    // in flight to the store
  std::optional<AnyEvent> answer;  // in flight back to the process
  Millis begun;
  bool given_up = false;  // its process no longer waits for it
};

// Copy-on-write: states share a part until one of them changes it.
template <class T>
class Shared {
 public:
  explicit Shared(T held) : held_(std::make_shared<T>(std::move(held))) {}
  const T& operator*() const { return *held_; }
  const T* operator->() const { return held_.get(); }
  T& own() {
    if (held_.use_count() > 1) held_ = std::make_shared<T>(*held_);
    return *held_;
  }

 private:
  std::shared_ptr<T> held_;
};

struct Node {
  explicit Node(const std::shared_ptr<PlanShaper>& shaper);

  std::vector<Shared<Cell>> cells;
  Shared<Store> store{Store{}};
  std::vector<Shared<Message>> messages;
  Shared<Checks> checks;
  Millis now = 0;
  int faults = 0;  // number of faults injected so far

  // The moves. Each returns false if it is not possible in this state; `settle` and `judge` follow each.
  bool deliver(std::size_t message);  // delivers it to the store, or back
  bool twice(std::size_t message);    // reaches the store now and once more later
  bool give_up(std::size_t message);  // its process times out; the call may still take effect
  bool look(int process);             // a watch delivers the plan
  bool look_late(int process);        // a watch starts to deliver the current plan
  bool lag(int process);
  bool take_over(int process);  // its lagging traffic takes over the latest snapshot and reports
  bool kill(int process);
  bool pause(int process);
  bool go_on(int process);
  bool slow_down(int process);
  void advance();  // advances all clocks

  void start(int process) { own(process).there = true; }
  void demand(int process, double demand) { own(process).demand = demand; }
  double units() const;  // that all processes, including paused ones, could spend now
  void settle();
  void judge();
  std::string broken() const { return checks->broken(); }

 private:
  const Cell& cell(int process) const { return *cells[static_cast<std::size_t>(process)]; }
  Cell& own(int process) { return cells[static_cast<std::size_t>(process)].own(); }
  bool usable(const Cell& cell) const;
  bool hears(int process) const { return cell(process).there && !cell(process).paused; }
  void member(int process, const MemberEvent& event);
  void traffic(int process);
  void planner(int process, const PlannerEvent& event);
  void send(int process, AnyCall call);
  std::optional<AnyEvent> execute(const AnyCall& call);
  void answer(int process, const AnyEvent& event, Millis begun);
};

}  // namespace shorelead::fleet::model
