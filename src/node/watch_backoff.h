// When to reopen a watch on the list that has ended, where the host decides that. Pure: the end of a watch
// and a random number in, a delay out. Where lists are requested and a call failed, the policy decides
// instead, and spreads calls over what discovery can serve.
#pragma once

#include <algorithm>
#include <optional>

#include "base/millis.h"
#include "net/stream.h"

namespace shorelead::node {

class WatchBackoff {
 public:
  // Pushed lists: only the host calls. Changes bind from the moment discovery has them, so it calls again
  // soon after a failure, and with growing delays where discovery rejects calls.
  static constexpr Millis kLeast = 200;
  static constexpr Millis kMost = 2000;
  // A watch that fell silent or never got a response is broken, however often that happens: changes it misses
  // bind 6 s after its last data, of which 3 s are needed to detect the silence and 2 s are how long
  // discovery lets a call wait. Calls can be spread over the rest. A call that waited too long at discovery
  // gets an explicit rejection.
  static constexpr Millis kEachNode = 50;
  static constexpr Millis kMostAfterSilence = 1000;
  static constexpr Millis kLocalFailure = 20;
  // Factor where no connection was established, which is known after 1 s.
  static constexpr double kUnconnected = 3;

  void told() { wait_ = 0; }                // a list arrived
  void reset() { *this = WatchBackoff(); }  // discovery has another address

  // The delay until the host reopens the watch; nothing where the policy decides. `asked`: lists are
  // requested, not pushed; `nodes`: how many nodes call; `random` is in [0, 1).
  std::optional<Millis> ended(net::Ending ending, bool asked, int nodes, double random) {
    using net::Ending;
    // A local failure to connect: discovery was not called, and the cause usually passes.
    if (ending == Ending::kLocalFailure || ending == Ending::kNoDescriptor) return kLocalFailure;
    const Millis spread = std::min(kEachNode * nodes, kMostAfterSilence);
    if (ending == Ending::kSilent || ending == Ending::kTimeout) return spread * random;
    if (ending == Ending::kConnectTimeout) return (asked ? kUnconnected : 1) * spread * random;
    if (asked) return std::nullopt;
    const Millis most = ending == Ending::kTurnedAway ? kMost : std::max(kLeast, spread);
    wait_ = std::clamp(wait_ * 2, kLeast, most);
    return wait_ * (0.5 + random);
  }

 private:
  Millis wait_ = 0;
};

}  // namespace shorelead::node
