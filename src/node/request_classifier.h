// Requests as the generations of the configuration read them: route, class and what the module is told. Owns
// the generation in force and those before it, by which repeats of keyed requests still go. Pure: the time
// in. It must never answer.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "node/net.h"
#include "node/policy_host.h"
#include "node/routing_snapshot.h"

namespace shorelead::node {

class RequestClassifier {
 public:
  explicit RequestClassifier(std::shared_ptr<const RoutingSnapshot> snapshot)
      : snapshot_(std::move(snapshot)) {}

  const RoutingSnapshot& in_force() const { return *snapshot_; }
  void go_by(std::shared_ptr<const RoutingSnapshot> snapshot, Millis now);
  void forget_past(Millis now);

  // Reads of a request what the module is told of it; `ask.due` holds the client's whole wait until the
  // caller knows better. Returns 0, or the status that it is refused with and its cause.
  int read(const Message& message, Millis now, RequestInfo& info, RequestRoute& request_route,
           const char*& cause) const;

 private:
  struct Past {
    std::shared_ptr<const RoutingSnapshot> snapshot;
    Millis until = 0;
  };

  std::optional<RequestRoute> request_route_of(const Message& message, Millis now) const;

  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::vector<Past> past_;  // the oldest first
};

}  // namespace shorelead::node
