// Where each open request is: with a pool, or waiting for its key's backend; and what it has of the fleet.
// Owns that book, and the order in which a request meets stand-ins, the fleet admission and rules of
// affinity. It must never choose a backend, nor let go of what a request has of the fleet before it is over.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "node/error_responses.h"
#include "node/fleet_admission.h"
#include "node/policy_host.h"
#include "node/pool.h"
#include "node/routing_snapshot.h"

namespace shorelead::node {

class RequestTable {
 public:
  using Refuse = std::function<void(RequestId, const Refusal&)>;

  explicit RequestTable(Refuse refuse) : refuse_(std::move(refuse)) {}

  void take(RequestId request, RequestInfo info, const RequestRoute& request_route,
            std::shared_ptr<const Message> message);
  // One that waits for its key's backend: asks again.
  void again(RequestId request);
  void body_whole(RequestId request, Millis due);
  void gone(RequestId request);  // its client is
  // It has its answer; what it has of the fleet is given back.
  void close(RequestId request, FleetAdmission::End end);
  std::uint64_t stood_in() const { return stood_in_; }  // requests taken by a pool that stands in for another

 private:
  struct Waits {
    RequestInfo info;
    std::shared_ptr<const Message> message;
    int place = -1;
  };
  struct With {
    std::shared_ptr<Pool> pool;
    std::shared_ptr<FleetAdmission> admission;
    FleetAdmission::Ticket ticket;
    std::unique_ptr<Waits> waits{};
  };

  // As a rule of affinity says.
  void go(RequestId request, const AffinityRouter::Said& said, RequestInfo info,
          std::shared_ptr<const Message> message);

  const Refuse refuse_;
  std::unordered_map<RequestId, With> with_;
  std::uint64_t stood_in_ = 0;
};

}  // namespace shorelead::node
