// Classifies requests by the configuration: route, class, and what the decision module is given. Owns the
// generation in force and the previous ones that repeats of keyed requests still use. Takes the time as an
// argument and answers no request.
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
  void use(std::shared_ptr<const RoutingSnapshot> snapshot, Millis now);
  void drop_expired(Millis now);

  // Fills in `info` and `request_route`. `info.due` is set to the client's time-out, for the caller to turn
  // into a deadline. Returns 0, or the status of the refusal and its cause.
  int read(const Message& message, Millis now, RequestInfo& info, RequestRoute& request_route,
           const char*& cause) const;

 private:
  struct Previous {
    std::shared_ptr<const RoutingSnapshot> snapshot;
    Millis until = 0;
  };

  std::optional<RequestRoute> request_route_of(const Message& message, Millis now) const;

  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::vector<Previous> previous_;  // the oldest first
};

}  // namespace shorelead::node
