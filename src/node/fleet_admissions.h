// The fleet admissions of a process: a reload that changes what is shared makes a new one. Keeps replaced
// ones until the store has all their shares back, and tracks whether this process has the node's reserve. A
// fleet admission is not ended while a request counts against it, and only one at a time has the reserve:
// otherwise the limit that all processes share would be exceeded.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "node/config.h"
#include "node/fleet_admission.h"
#include "node/net.h"
#include "node/routing_snapshot.h"

namespace shorelead::node {

class FleetAdmissions {
 public:
  // `successor`: an older process of the same node is still running, which has the node's name in the fleet
  // and the reserve. `reconsider` is called for requests that wait for an affinity slot when they may go on.
  FleetAdmissions(Loop& loop, bool successor, std::function<void(RequestId)> reconsider)
      : loop_(loop), successor_(successor), reconsider_(std::move(reconsider)), has_reserve_(!successor) {}
  ~FleetAdmissions() { loop_.cancel(sweep_timer_); }
  FleetAdmissions(const FleetAdmissions&) = delete;
  FleetAdmissions& operator=(const FleetAdmissions&) = delete;

  // For a generation by `config`, while `now` is in force (null: none is). Null where nothing is shared.
  std::shared_ptr<FleetAdmission> make(const Config& config, const RoutingSnapshot* now);
  // Requests use `next` in place of `before` from now on.
  void switch_to(const RoutingSnapshot& before, const RoutingSnapshot& next);
  // At the end of the process: returns all shares to the fleet. True once that is done for all fleet
  // admissions.
  bool give_back(const RoutingSnapshot& now);

  // Hands the node's reserve to another process of the node. Returns after how long all that was admitted
  // with it here has ended.
  Millis give_reserve();
  // Takes the reserve; all that the other process admitted with it has ended after `before`.
  void take_reserve(Millis before);

 private:
  void sweep();
  Millis longest_hold() const;

  Loop& loop_;
  const bool successor_;
  const std::function<void(RequestId)> reconsider_;
  int made_ = 0;  // so far; part of the name, so that no two share one
  struct Replaced {
    std::shared_ptr<FleetAdmission> admission;
    Millis until = 0;  // then it returns its shares, even if repeats of requests may still use it
  };
  bool has_reserve_;
  std::shared_ptr<FleetAdmission> in_force_;
  std::vector<Replaced> replaced_;
  Loop::TimerId sweep_timer_ = 0;
};

}  // namespace shorelead::node
