// The requests that the module has, until nothing of them is out: their attempts, and when the host gives
// each up. Owns these and what they name (backends' numbers, places of affinity); it must never decide about
// one.
#pragma once

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "guard/guard.h"
#include "node/affinity_hold.h"
#include "node/endpoint_list.h"

namespace shorelead::node {

class OpenRequests {
 public:
  struct Open {
    Millis due = 0;
    std::vector<BackendId> attempts{};
    int out = 0;
    guard::RequestState rules{};  // as the settings said when it came
    bool may_have_run = false;    // an attempt that has ended
    Unit home{};
    AffinityHold affinity_hold{};
    bool over = false;

    // As the guard is to know it.
    guard::RequestState state() const {
      guard::RequestState state = rules;
      state.answered = over;
      state.may_have_run = may_have_run || out > 0;
      state.slot_open = affinity_hold.may_send();
      return state;
    }
  };

  explicit OpenRequests(EndpointList& endpoints) : endpoints_(endpoints) {}

  void begin(RequestId request, Open open);
  Open* find(RequestId request);
  // It has had its final answer; once nothing of it is out it is forgotten, at the latest with `ended`.
  void answered(RequestId request, Open& open);
  void ended(RequestId request, Open& open);  // an attempt of it has
  void due(RequestId request, Millis due);    // from now on
  std::optional<RequestId> overdue(Millis now);
  // Adds what is known of it here to what the guard is asked with.
  void describe(RequestId request, guard::RequestState& state) const;
  Millis next() const { return deadlines_.empty() ? 0 : deadlines_.begin()->first; }
  std::size_t size() const { return requests_.size(); }

 private:
  void forget(RequestId request, Open& open);

  EndpointList& endpoints_;
  std::unordered_map<RequestId, Open> requests_;
  std::set<std::pair<Millis, RequestId>> deadlines_;
};

}  // namespace shorelead::node
