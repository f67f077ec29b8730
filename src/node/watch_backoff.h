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
  static constexpr Millis kMinDelay = 200;
  static constexpr Millis kMaxDelay = 2000;
  // A watch that fell silent or never got a response is broken, however often that happens: changes it misses
  // bind 6 s after its last data, of which 3 s are needed to detect the silence and 2 s are how long
  // discovery lets a call wait. Calls can be spread over the rest. A call that waited too long at discovery
  // gets an explicit rejection.
  static constexpr Millis kDelayPerNode = 50;
  static constexpr Millis kMaxDelayAfterSilence = 1000;
  static constexpr Millis kLocalFailureDelay = 20;
  // Factor where no connection was established, which is known after 1 s.
  static constexpr double kConnectTimeoutFactor = 3;

  void list_received() { delay_ = 0; }      // a list arrived
  void reset() { *this = WatchBackoff(); }  // discovery has another address

  // The delay until the host reopens the watch; nothing where the policy decides. `on_request`: lists are
  // requested, not pushed; `nodes`: how many nodes call; `random` is in [0, 1).
  std::optional<Millis> delay_after(net::Ending ending, bool on_request, int nodes, double random) {
    using net::Ending;
    // A local failure to connect: discovery was not called, and the cause usually passes.
    if (ending == Ending::kLocalFailure || ending == Ending::kNoDescriptor) return kLocalFailureDelay;
    const Millis spread = std::min(kDelayPerNode * nodes, kMaxDelayAfterSilence);
    if (ending == Ending::kSilent || ending == Ending::kTimeout) return spread * random;
    if (ending == Ending::kConnectTimeout) return (on_request ? kConnectTimeoutFactor : 1) * spread * random;
    if (on_request) return std::nullopt;
    const Millis max = ending == Ending::kRejected ? kMaxDelay : std::max(kMinDelay, spread);
    delay_ = std::clamp(delay_ * 2, kMinDelay, max);
    return delay_ * (0.5 + random);
  }

 private:
  Millis delay_ = 0;
};

}  // namespace shorelead::node
