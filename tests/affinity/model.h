// Several processes, a store and two planners in simulated time: messages that are late, lost and reordered,
// processes that are killed, paused and partitioned, backends that come, go and drain. The processes here
// implement the rules of fleet/plan.h in a few lines of their own; shaper, choice and bindings (requests that
// wait or are in flight) are the real ones. The model looks for:
//   - a request sent for a slot to another backend than an earlier one, by an older opening (a fencing token
//     that went back);
//   - two backends that work for one slot at the same time, for processes that are not paused.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "affinity/bindings.h"
#include "affinity/shaper.h"
#include "base/random.h"
#include "fleet/plan.h"
#include "fleet/spec.h"

namespace shorelead::affinity {

inline constexpr std::size_t kSlots = 16;
inline constexpr Millis kLongest = 300;  // longest duration of a request

// A lease of 1 s; the other settings have their defaults.
inline fleet::Sharing sharing() {
  fleet::Sharing s;
  s.lease = 1000;
  return s;
}

enum class Flaw {
  kNone,
  kIgnoresExpiry,   // the snapshot is passed as valid whatever the clock
  kOpensAtOnce,     // the plan opens a slot at its new backend in the step that closes it
  kKeepsStale,      // a process acknowledges, but sends by the old map for a while
  kNotQuiet,        // a process acknowledges while requests are in flight
  kNoRecord,        // a process opens slots before its record has the epoch
  kPlanUncompared,  // a record is written without comparing the plan's revision
};

struct ModelResult {
  int sends = 0, moves = 0, refused = 0, violations = 0;
  bool complete = false;  // at the end all live processes can send for every slot
  std::string what;
};

class Model {
 public:
  Model(std::uint64_t seed, Flaw flaw) : random_(seed), flaw_(flaw) {}
  ModelResult run();

 private:
  struct Work {
    std::size_t slot;
    std::string backend;
    Millis ends;
    int place;
  };
  struct Process {
    std::string name;
    std::uint64_t life = 0;  // counts restarts; answers to an earlier life are dropped
    bool alive = true, cut = false;
    Millis paused_until = 0, deaf_until = 0;
    std::uint64_t modified = 0;  // revision of its record; 0 = none
    std::uint64_t call = 0;      // the pending call for its record; 0 = none
    Millis valid_until = -1;
    fleet::Plan in_force{}, seen{};
    std::uint64_t seen_modified = 0;
    fleet::SlotMap open{};  // the map that requests are sent by
    std::uint64_t incarnation = 0;
    std::shared_ptr<Bindings> keys{};
    std::vector<Work> work{};
  };
  struct Stored {
    fleet::Record record;
    std::uint64_t modified = 0;
    Millis expires = 0;
  };

  Millis random_delay() { return !calm_ && random_.unit() < 0.1 ? 400 * random_.unit() : 5 * random_.unit(); }
  bool lost() { return !calm_ && random_.unit() < 0.05; }
  void at(Millis when, std::function<void()> what) { queue_.push({when, order_++, std::move(what)}); }
  // Delivers a message or answer to a process, unless it was restarted or partitioned; waits while it is
  // paused.
  void to(std::size_t process, std::function<void(Process&)> what);
  void from(std::size_t process, std::function<void()> what);

  void expire();
  void lose(Process& p);
  void renew(std::size_t process);
  void put_record(std::size_t process, std::uint64_t epoch);
  void see(Process& p, const fleet::Plan& plan, std::uint64_t modified);
  void apply_snapshot(Process& p);  // on the request path
  void end_due_work(Process& p);
  void sent(Process& p, const Bindings::RoutingResult& result, std::size_t slot);
  void follow(std::size_t process);
  void send(std::size_t process);
  void plan(std::size_t planner);
  void fault();
  void record_violation(const std::string& what);

  struct Event {
    Millis at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  Random random_;
  const Flaw flaw_;
  std::priority_queue<Event> queue_;
  std::uint64_t order_ = 0, calls_ = 0, incarnations_ = 0;
  Millis now_ = 0;
  bool calm_ = false;
  std::uint64_t revision_ = 1;
  fleet::Plan stored_plan_;
  std::uint64_t plan_modified_ = 0;
  std::map<std::string, Stored> records_;
  std::vector<Process> processes_;
  std::vector<Shaper> shapers_;
  std::vector<BackendStatus> backends_;
  Rule rule_;
  std::map<std::size_t, std::pair<std::uint64_t, std::string>> last_;  // by slot: opening epoch, backend
  ModelResult result_;
};

}  // namespace shorelead::affinity
