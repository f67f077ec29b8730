// The fleet admissions of a process, one for each generation that shares something else than the one before.
// Owns those that are left until the store has all of theirs back, and whether the node's reserve is with
// this process. It must never end one that a request still counts with, nor let two have the reserve.
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
  // `beside`: another process of the same node lives, which has its name in the fleet, and the reserve.
  // `again`: called for requests that wait for their keys' backends, when it may be time to ask again.
  FleetAdmissions(Loop& loop, bool beside, std::function<void(RequestId)> again)
      : loop_(loop), beside_(beside), again_(std::move(again)), has_reserve_(!beside) {}
  ~FleetAdmissions() { loop_.cancel(sweep_); }
  FleetAdmissions(const FleetAdmissions&) = delete;
  FleetAdmissions& operator=(const FleetAdmissions&) = delete;

  // For a generation by `config`, the one in force being `now` (or none); null where nothing is shared.
  std::shared_ptr<FleetAdmission> make(const Config& config, const RoutingSnapshot* now);
  // Requests go by `next` from now on, and no longer by `before`.
  void go_by(const RoutingSnapshot& before, const RoutingSnapshot& next);
  // This process ends: gives back all of what is in force; whether that is done, as for those left before.
  bool give_back(const RoutingSnapshot& now);

  // The node's reserve, between the processes of it: another has it from now on, and what was begun with it
  // here is over after the time that is given back; or it is this one's, where that of the other's is over
  // after `before`.
  Millis give_reserve();
  void take_reserve(Millis before);

 private:
  void sweep();
  Millis longest_hold() const;

  Loop& loop_;
  const bool beside_;
  const std::function<void(RequestId)> again_;
  int made_ = 0;  // so far: no two have one name
  struct Left {
    std::shared_ptr<FleetAdmission> admission;
    Millis until = 0;  // then it gives back all, though a request may still come by it
  };
  bool has_reserve_;
  std::shared_ptr<FleetAdmission> in_force_;
  std::vector<Left> left_;
  Loop::TimerId sweep_ = 0;
};

}  // namespace shorelead::node
