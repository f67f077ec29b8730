// One state of a small fleet, for the search of all of them: three processes, one count of two units, one
// slot. Time goes in steps; every order of what reaches whom is a state of its own.
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
  std::shared_ptr<const Snapshot> taken = latest;  // by the traffic
  std::uint64_t incarnation = 0;
  Millis valid_until = 0;
  double demand = 0;
  bool there = false;  // started, and not killed
  bool paused = false;
  bool slow = false;         // what it sends and is told takes any time, in any order; else it takes none
  bool lags = false;         // its traffic goes by an older snapshot; else it takes over each at once
  std::uint64_t looked = 0;  // modification of the plan that it is being told, or was told
};

struct Message {
  int process;
  AnyCall call;                    // still on its way
  std::optional<AnyEvent> answer;  // on its way back
  Millis begun;
  bool given_up = false;  // nobody waits for it any more
};

// What states have in common stands once, until one of them changes it.
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
  int faults = 0;  // used so far

  // One thing that happens. False = it cannot, here. `settle` and `judge` after each.
  bool deliver(std::size_t message);  // to the store, or back
  bool twice(std::size_t message);    // reaches the store, and will once more
  bool give_up(std::size_t message);  // its process does; it may still be done
  bool look(int process);             // a watch tells it the plan
  bool look_late(int process);        // a watch begins to tell it the plan as it stands
  bool lag(int process);
  bool take_over(int process);  // its traffic does, though it lags, the newest snapshot, and reports
  bool kill(int process);
  bool pause(int process);
  bool go_on(int process);
  bool slow_down(int process);
  void advance();  // all clocks

  void start(int process) { own(process).there = true; }
  void demand(int process, double demand) { own(process).demand = demand; }
  double units() const;  // that all could spend now, those that stand still too
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
