// The open requests of the node: which pool handles each, or that it waits for an affinity slot, and what it
// uses of the fleet's shared limits. Passes a new request through fallback pools, fleet admission and
// affinity rules, in this order. Chooses no backend. A request's shared limits are released when it ends, and
// not before.
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

  void accept(RequestId request, RequestInfo info, const RequestRoute& request_route,
              std::shared_ptr<const Message> message);
  // Lets a request that waits for an affinity slot go on, if it may by now.
  void reconsider(RequestId request);
  void body_complete(RequestId request, Millis due);
  void client_gone(RequestId request);
  bool may_have_run(
      RequestId request) const;  // of an open request: whether an attempt may have been processed
  // The request has its answer: releases what it uses of the shared limits.
  void close(RequestId request, FleetAdmission::End end);
  std::uint64_t stood_in() const { return stood_in_; }  // requests sent to a fallback pool

 private:
  struct Waiting {
    RequestInfo info;
    std::shared_ptr<const Message> message;
    int place = -1;
  };
  struct Entry {
    std::shared_ptr<Pool> pool;
    std::shared_ptr<FleetAdmission> admission;
    FleetAdmission::Ticket ticket;
    std::unique_ptr<Waiting> waiting{};  // for an affinity slot; null: the pool has the request
  };

  void apply(RequestId request, const AffinityRouter::Decision& decision, RequestInfo info,
             std::shared_ptr<const Message> message);

  const Refuse refuse_;
  std::unordered_map<RequestId, Entry> entries_;
  std::uint64_t stood_in_ = 0;
};

}  // namespace shorelead::node
