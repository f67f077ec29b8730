// Actions that the policy host has decided on and that its caller carries out: the queue between the decision
// and the next tick(). Makes no decision and carries out none.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "policy/policy.h"

namespace shorelead::node {

// What the caller does about a request now.
struct Choice {
  enum class Kind {
    kPending,  // nothing yet; a later tick() says more
    kSend,     // send an attempt to `backend`, which ends at `deadline`
    kRefuse,   // refuse it: a repeat is harmless, after `retry_after` if that is not 0
    kFail,     // answer that it failed
    kForward,  // forward the response that has just been reported
    kEnded,    // nothing: the request has ended already
  };
  Kind kind = Kind::kPending;
  RequestId request = 0;
  BackendId backend = 0;
  int attempt = 0;
  Millis deadline = 0;
  Millis begin_by = 0;  // the last byte of the attempt has to be written before then
  Millis retry_after = 0;
};

// The actions that are due, in the order in which they are carried out.
struct DeferredActions {
  std::vector<Choice> choices;
  std::vector<std::pair<RequestId, int>> cancellations;  // attempts whose response is no longer needed
  std::vector<BackendId> probes;
  std::vector<BackendId> unwanted;    // take no new attempts; their connections are closed
  std::vector<BackendId> close_idle;  // their idle connections are closed
  bool start_watch = false;           // open the watch on the endpoint list (again)
  Millis next = 0;                    // when tick() is due; 0 = not at all

  // Removes and returns the choice that was just made for this request, if any; those of others stay queued.
  Choice take(RequestId request, Choice::Kind otherwise) {
    const auto it = std::find_if(choices.begin(), choices.end(),
                                 [request](const Choice& choice) { return choice.request == request; });
    if (it == choices.end()) return {otherwise, request};
    const Choice found = *it;
    choices.erase(it);
    return found;
  }

  // Removes and returns the attempts and probes for backends that have become unavailable.
  template <typename Wanted>
  std::pair<std::vector<Choice>, std::vector<BackendId>> take_unwanted(const Wanted& wanted) {
    const auto sends = std::stable_partition(choices.begin(), choices.end(), [&wanted](const Choice& choice) {
      return choice.kind != Choice::Kind::kSend || wanted(choice.backend);
    });
    const auto unwanted_probes = std::stable_partition(probes.begin(), probes.end(), wanted);
    std::pair<std::vector<Choice>, std::vector<BackendId>> found{{sends, choices.end()},
                                                                 {unwanted_probes, probes.end()}};
    choices.erase(sends, choices.end());
    probes.erase(unwanted_probes, probes.end());
    return found;
  }
};

}  // namespace shorelead::node
