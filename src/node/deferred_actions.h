// What the policy host has for its host to do, from when it was decided until the host comes for it. Owns
// that list; it must never decide, nor do any of it.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "policy/policy.h"

namespace shorelead::node {

// What is to be done about a request now.
struct Choice {
  enum class Kind {
    kHold,    // nothing yet; a later tick() tells
    kSend,    // send it to `backend`, until `until`, by `begin_by`
    kRefuse,  // answer that trying again is harmless, after `wait` if that is not 0
    kFail,    // answer that it failed
    kPass,    // pass on the answer that has just been reported
    kOver,    // nothing: it had its answer before
  };
  Kind kind = Kind::kHold;
  RequestId request = 0;
  BackendId backend = 0;
  int attempt = 0;
  Millis until = 0;
  Millis begin_by = 0;  // its last byte may not go out from then on
  Millis wait = 0;
};

// What has fallen due, in the order in which it is to be done.
struct DeferredActions {
  std::vector<Choice> choices;
  std::vector<std::pair<RequestId, int>> call_off;  // attempts that nobody waits for any more
  std::vector<BackendId> probes;
  std::vector<BackendId> unwanted;  // nothing new may go there, and no connection is to be kept
  std::vector<BackendId> crowded;   // connections there that stand unused are to be closed
  bool watch = false;               // (re)open the watch on the list
  Millis next = 0;                  // call tick() again by then; 0 = no need

  // What has just been decided of this request, if anything; what came up of others waits.
  Choice take(RequestId request, Choice::Kind otherwise) {
    const auto it = std::find_if(choices.begin(), choices.end(),
                                 [request](const Choice& choice) { return choice.request == request; });
    if (it == choices.end()) return {otherwise, request};
    const Choice found = *it;
    choices.erase(it);
    return found;
  }

  // What was decided for backends that nothing may go to any more, and is not to be done.
  template <typename Wanted>
  std::pair<std::vector<Choice>, std::vector<BackendId>> take_unwanted(const Wanted& wanted) {
    const auto sends = std::stable_partition(choices.begin(), choices.end(), [&wanted](const Choice& choice) {
      return choice.kind != Choice::Kind::kSend || wanted(choice.backend);
    });
    const auto asks = std::stable_partition(probes.begin(), probes.end(), wanted);
    std::pair<std::vector<Choice>, std::vector<BackendId>> found{{sends, choices.end()},
                                                                 {asks, probes.end()}};
    choices.erase(sends, choices.end());
    probes.erase(asks, probes.end());
    return found;
  }
};

}  // namespace shorelead::node
