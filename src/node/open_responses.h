// The responses that are forwarded while they are received, each until it ends: whose they are, for the event
// that tells the decision module how they ended. Decides nothing.
#pragma once

#include <optional>
#include <unordered_map>

#include "node/outcome.h"
#include "policy/policy.h"

namespace shorelead::node {

class OpenResponses {
 public:
  void begin(RequestId request, BackendId backend, int request_class) {
    responses_[request] = {backend, request_class};
  }
  // `ending`: how the response ended; empty if that says nothing about its backend. Returns the event to
  // report, if there is one.
  std::optional<ResponseEnded> end(RequestId request, std::optional<net::Ending> ending) {
    const auto found = responses_.extract(request);
    if (found.empty() || !ending) return std::nullopt;
    return ResponseEnded{found.mapped().backend, found.mapped().request_class, outcome_of(*ending)};
  }

 private:
  struct Origin {
    BackendId backend = 0;
    int request_class = 0;
  };
  std::unordered_map<RequestId, Origin> responses_;
};

}  // namespace shorelead::node
