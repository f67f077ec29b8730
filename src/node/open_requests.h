// The requests that the decision module handles, each until its last attempt has ended: their attempts and
// their deadlines. Holds a reference on the backend numbers and affinity places that a request names, and
// releases them with it. Decides nothing.
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
  struct Entry {
    Millis due = 0;
    int request_class = 0;
    std::vector<BackendId> attempts{};
    int in_flight = 0;            // attempts that have not ended
    guard::RequestState rules{};  // by the settings under which it arrived
    bool may_have_run = false;    // in an attempt that has ended
    Unit home{};
    AffinityHold affinity_hold{};
    bool ended = false;  // has its final answer, or its client has gone

    // The state that the guard checks.
    guard::RequestState state() const {
      guard::RequestState state = rules;
      state.answered = ended;
      state.may_have_run = may_have_run || in_flight > 0;
      state.slot_open = affinity_hold.may_send();
      return state;
    }
  };

  explicit OpenRequests(EndpointList& endpoints) : endpoints_(endpoints) {}

  void begin(RequestId request, Entry entry);
  Entry* find(RequestId request);
  // The request has its final answer or its client has gone. The entry is removed once no attempt is in
  // flight: now, or in attempt_ended().
  void mark_ended(RequestId request, Entry& entry);
  void attempt_ended(RequestId request, Entry& entry);
  void set_due(RequestId request, Millis due);
  // Removes the next deadline that has passed and returns its request, if that is still unanswered.
  std::optional<RequestId> take_overdue(Millis now);
  // Whether an attempt of this request may have been processed; one in flight is taken to be written.
  bool may_have_run(RequestId request) const;
  // Fills in the part of the guard's state that is known here.
  void describe(RequestId request, guard::RequestState& state) const;
  Millis next_deadline() const { return deadlines_.empty() ? 0 : deadlines_.begin()->first; }
  std::size_t size() const { return requests_.size(); }

 private:
  void forget(RequestId request, Entry& entry);

  EndpointList& endpoints_;
  std::unordered_map<RequestId, Entry> requests_;
  std::set<std::pair<Millis, RequestId>> deadlines_;
};

}  // namespace shorelead::node
