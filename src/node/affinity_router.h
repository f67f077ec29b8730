// Applies the affinity rules in this process, on the traffic thread: finds the rule that a request matches,
// decides where the request may go now, and tracks the requests that wait for a slot or are in flight in a
// closed one. Also sends the planner its list of backends. Owns the places of requests (affinity/bindings.h)
// and the timer that checks them. Chooses no backend within a unit and answers no client. Closed slots are
// reported quiet only once no request is in flight in them: if a slot moved earlier, two backends could serve
// one key at the same time.
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
  // The callback `reconsider` is called for each waiting request, at intervals and after each new snapshot;
  // it has to call the member function reconsider() with the request's place.
  AffinityRouter(Loop& loop, const FleetConfig& fleet, fleet::Port& port,
                 std::function<void(RequestId)> reconsider);
  ~AffinityRouter() override;
  AffinityRouter(const AffinityRouter&) = delete;
  AffinityRouter& operator=(const AffinityRouter&) = delete;

  const std::shared_ptr<AffinityPlanner>& planner() const { return planner_; }
  // Sets the pools whose backends are sent to the planner from now on; if empty, nothing more is sent.
  void watch(const std::vector<std::shared_ptr<Pool>>& pools);

  struct Decision {
    affinity::RoutingAction action = affinity::RoutingAction::kFree;
    affinity::RoutingReason reason = affinity::RoutingReason::kNoKey;
    Unit home{};     // set for kOnly and kPrefer
    int place = -1;  // set for kOnly and kWait
  };
  std::optional<affinity::RuleMatch> find(const affinity::Request& request) const {
    return affinity::find(bindings_.rules(), request);
  }
  // Whether requests that match this rule may be sent only to the unit that owns their key.
  bool must(const affinity::RuleMatch& found) const { return bindings_.rules()[found.rule].must; }
  // `due`: the request's deadline on the loop's clock.
  Decision route(RequestId request, const affinity::RuleMatch& found, const std::shared_ptr<Pool>& pool,
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
  Decision decision_of(const affinity::Bindings::RoutingResult& result, const std::shared_ptr<Pool>& pool);
  void check_places();
  void update_planner();
  void report_quiet_slots();

  Loop& loop_;
  fleet::Port& port_;
  const Millis first_plan_by_;
  const std::function<void(RequestId)> reconsider_;
  affinity::Bindings bindings_;
  const std::shared_ptr<AffinityPlanner> planner_;
  std::vector<std::weak_ptr<Pool>> pools_;   // those passed to watch()
  std::vector<std::weak_ptr<Pool>> places_;  // the pool of each place
  std::vector<affinity::BackendStatus> sent_to_planner_;
  bool ever_sent_ = false;
  std::uint64_t list_changes_ = 0;  // changes of all pools' lists when the list was last sent
  Millis sent_at_ = 0;
  Loop::TimerId check_timer_ = 0;
  Loop::TimerId planner_timer_ = 0;
};

// The body text of a refusal by an affinity rule.
const char* cause_of(affinity::RoutingReason reason);

}  // namespace shorelead::node
