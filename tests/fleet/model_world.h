// Several processes, one store and the network between them, in simulated time from one seed. Faults are
// injected from outside, as steps.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "fleet/model_case.h"
#include "fleet/model_checks.h"
#include "fleet/model_process.h"
#include "fleet/model_store.h"
#include "fleet/model_time.h"

namespace shorelead::fleet::model {

struct Noise {
  double lost = 0;     // fraction of all messages lost, each way
  double doubled = 0;  // fraction of calls executed twice
  double late = 0;     // fraction of messages that take up to two leases; the others take up to 5 ms
};

class World {
 public:
  World(std::uint64_t seed, const Noise& noise, const Sharing& sharing = small_sharing(),
        std::vector<Budget> budgets = small_budgets());
  ~World() {
    // Messages still waiting for a paused process hold a reference to that process.
    for (const auto& process : processes_) process->waiting.clear();
  }
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  int start(const std::string& name);  // its number; -1 = the largest allowed number is running
  int start() { return start(std::to_string(count())); }
  void crash(int process);
  void leave(int process);
  void pause(int process);
  void go_on(int process);
  void cut(int process, bool to, bool from);
  void demand(int process, double demand);
  void wish(std::size_t slot, const std::string& backend) { slot_mover_->wish(slot, backend); }
  void store_down(bool down) { down_ = down; }
  void restore(std::size_t back);
  void spoil(StoreState::Text text);
  void calm();  // ends all faults and runs long enough to recover

  void run(Millis span);

  const std::string& broken() const { return checks_.broken(); }
  double usable(const std::string& budget) const;  // sum over all processes, not counting reserves
  int planner() const;                             // number of the elected process, or -1
  Process* process(int number) { return processes_.at(static_cast<std::size_t>(number)).get(); }
  int count() const { return static_cast<int>(processes_.size()); }
  const Checks& checks() const { return checks_; }
  const Store& store() const { return store_; }
  std::uint64_t calls = 0;  // to the store

 private:
  void to(const std::shared_ptr<Process>& process, std::function<void()> run);
  Millis takes();
  void send(const std::shared_ptr<Process>& process, const AnyCall& call);
  void reach(const std::shared_ptr<Process>& process, const AnyCall& call, std::uint64_t number,
             Millis begun);
  void come_back(const std::shared_ptr<Process>& process, const AnyEvent& event, std::uint64_t number,
                 Millis begun);
  void ask_plan(const std::shared_ptr<Process>& process);
  void control(const std::shared_ptr<Process>& process);
  void traffic(const std::shared_ptr<Process>& process);
  Process::Send sender(const std::shared_ptr<Process>& process);
  void look_at_sums();

  const Sharing sharing_;
  const std::vector<Budget> budgets_;
  Noise noise_;
  Random random_;
  Checks checks_;
  Store store_;
  bool down_ = false;
  std::shared_ptr<SlotMover> slot_mover_;
  std::vector<std::shared_ptr<Process>> processes_;
  Timeline time_;
  std::uint64_t numbers_ = 0;
  Millis copied_ = 0;
};

}  // namespace shorelead::fleet::model
