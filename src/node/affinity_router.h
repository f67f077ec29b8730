// Affinity rules in this process, on the traffic thread: which requests a rule matches, where those may go
// now, which wait for a slot and which are in flight in closed slots; also feeds the planner its list of
// backends. Owns the places of requests (affinity/bindings.h) and the timer that checks them. Chooses no
// backend within a unit and answers no client. Slots are reported quiet only once nothing is in flight in
// them: a slot that moved earlier would have two backends serve one key at once.
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

class AffinityRouter : public AffinityPlaces {
 public:
  // `reconsider` is called for each waiting request when it may be time to call reconsider().
  AffinityRouter(Loop& loop, const FleetConfig& fleet, fleet::Port& port,
                 std::function<void(RequestId)> reconsider);
  ~AffinityRouter() override;
  AffinityRouter(const AffinityRouter&) = delete;
  AffinityRouter& operator=(const AffinityRouter&) = delete;

  const std::shared_ptr<AffinityPlanner>& planner() const { return planner_; }
  // The pools whose backends the planner uses from now on; with none, its list is updated no more.
  void watch(const std::vector<std::shared_ptr<Pool>>& pools);

  struct Decision {
    affinity::Go go = affinity::Go::kFree;
    affinity::Why why = affinity::Why::kNoKey;
    Unit home{};     // kOnly, kPrefer
    int place = -1;  // kOnly, kWait
  };
  std::optional<affinity::Found> find(const affinity::Request& request) const {
    return affinity::find(bindings_.rules(), request);
  }
  // Whether a request of this rule may go to no other unit.
  bool must(const affinity::Found& found) const { return bindings_.rules()[found.rule].must; }
  // `due`: the request's deadline on the loop's clock.
  Decision route(RequestId request, const affinity::Found& found, const std::shared_ptr<Pool>& pool,
                 Millis due);
  Decision reconsider(int place);  // decides again for a request that waits
  void leave(int place);           // a waiting request has ended

  bool may_send(int place) override;
  void release(int place) override;

  void apply_snapshot();  // the port has a newer snapshot
  // Whether a plan has been received, or the time to wait for one is over. Until then clients are better
  // served by other processes.
  bool plan_settled() const;
  bool busy() const { return bindings_.busy(); }
  void log_counters() const;

 private:
  bool valid(Millis now) const { return port_.valid(now) != nullptr; }
  Decision decision_of(const affinity::Bindings::Said& said, const std::shared_ptr<Pool>& pool);
  void check_places();
  void update_planner();
  void report_quiet_slots();

  Loop& loop_;
  fleet::Port& port_;
  const Millis first_plan_by_;
  const std::function<void(RequestId)> reconsider_;
  affinity::Bindings bindings_;
  const std::shared_ptr<AffinityPlanner> planner_;
  std::vector<std::weak_ptr<Pool>> pools_;   // watched
  std::vector<std::weak_ptr<Pool>> places_;  // the pool of each place
  std::vector<affinity::BackendSeen> sent_to_planner_;
  bool ever_sent_ = false;
  std::uint64_t list_changes_ = 0;  // of all pools, when the list was last sent
  Millis sent_at_ = 0;
  Loop::TimerId check_timer_ = 0;
  Loop::TimerId planner_timer_ = 0;
};

// The body text of a refusal by an affinity rule.
const char* cause_of(affinity::Why why);

}  // namespace shorelead::node
