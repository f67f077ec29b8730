// Rules of affinity at one process, on the traffic's thread: which requests they take, where those may go
// now, who waits, what is under way in closed slots, and the list of backends that the planner goes by. Owns
// the places of requests (affinity/bindings.h) and the clock that they are looked after by. It must never
// choose a backend within a unit, never answer a client, and never say that slots are quiet before they are.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "affinity/bindings.h"
#include "fleet/port.h"
#include "node/affinity_hold.h"
#include "node/affinity_planner.h"
#include "node/fleet_config.h"
#include "node/net.h"
#include "node/units.h"

namespace shorelead::node {

class Pool;

class AffinityRouter : public Holder {
 public:
  // `again`: called for each request that waits, when it may be time to ask again().
  AffinityRouter(Loop& loop, const FleetConfig& fleet, fleet::Port& port,
                 std::function<void(RequestId)> again);
  ~AffinityRouter() override;
  AffinityRouter(const AffinityRouter&) = delete;
  AffinityRouter& operator=(const AffinityRouter&) = delete;

  const std::shared_ptr<AffinityPlanner>& planner() const { return planner_; }
  void watch(
      const std::vector<std::shared_ptr<Pool>>& pools);  // whose backends the planner goes by; none: no more

  struct Said {
    affinity::Go go = affinity::Go::kFree;
    affinity::Why why = affinity::Why::kNoKey;
    Unit home{};     // kOnly, kPrefer
    int place = -1;  // kOnly, kWait
  };
  std::optional<affinity::Found> find(const affinity::Request& request) const {
    return affinity::find(bindings_.rules(), request);
  }
  bool must(const affinity::Found& found) const { return bindings_.rules()[found.rule].must; }
  // `due`: its client's time, as the loop counts.
  Said arrive(RequestId request, const affinity::Found& found, const std::shared_ptr<Pool>& pool, Millis due);
  Said again(int place);
  void leave(int place);  // its client has gone while it waited

  bool may_send(int place) override;
  void over(int place) override;

  void take_up();  // the port has a newer snapshot
  // Whether a plan was ever in force, or none can be hoped for: until then clients are better off elsewhere.
  bool told() const;
  bool busy() const { return bindings_.busy(); }
  void log_counters() const;

 private:
  bool valid(Millis now) const { return port_.valid(now) != nullptr; }
  Said answer(const affinity::Bindings::Said& said, const std::shared_ptr<Pool>& pool);
  void look_after();
  void feed();
  void quiet();

  Loop& loop_;
  fleet::Port& port_;
  const Millis told_by_;
  const std::function<void(RequestId)> again_;
  affinity::Bindings bindings_;
  const std::shared_ptr<AffinityPlanner> planner_;
  std::vector<std::weak_ptr<Pool>> pools_;   // watched
  std::vector<std::weak_ptr<Pool>> places_;  // the pool of each place, which lives for as long as it
  std::vector<affinity::BackendSeen> told_;  // to the planner
  bool ever_told_ = false;
  std::uint64_t seen_ = 0;  // changes of the list
  Millis fed_at_ = 0;
  Loop::TimerId tick_ = 0;
  Loop::TimerId feed_ = 0;
};

// What a refusal for a key's sake says.
const char* cause_of(affinity::Why why);

}  // namespace shorelead::node
