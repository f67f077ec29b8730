// When a watch on the list that has ended is opened anew, as far as the host sees to it. Pure: the end of a
// watch and a random number in, a wait out. It must never ask in the module's place where a call failed:
// calls are spread over what discovery bears.
#pragma once

#include <algorithm>
#include <optional>

#include "base/millis.h"
#include "net/stream.h"

namespace shorelead::node {

class WatchBackoff {
 public:
  // Pushed lists: the host alone asks. What is there counts from the first moment, so it asks soon where
  // nobody is there to be kept busy, and ever later where calls are turned away.
  static constexpr Millis kLeast = 200;
  static constexpr Millis kMost = 2000;
  // One that fell silent, or came to no word at all, is broken, however often: what it misses counts as told
  // 6 s after its last word, of which 3 s are needed to notice and 2 s are what discovery lets a call wait.
  // The rest is what calls can be spread over. One that waits too long there is told so, in words.
  static constexpr Millis kEachNode = 50;
  static constexpr Millis kMostAfterSilence = 1000;
  static constexpr Millis kLocalFailure = 20;
  static constexpr double kUnconnected = 3;  // times as long where no connection came up, known after 1 s

  void told() { wait_ = 0; }                // a list came
  void reset() { *this = WatchBackoff(); }  // discovery is another

  // In how long the host is to open it anew; none: the module says when. `asked`: lists are to be asked for;
  // `nodes`: that do so; `random` is of [0, 1).
  std::optional<Millis> ended(net::Ending ending, bool asked, int nodes, double random) {
    using net::Ending;
    // Nobody has been asked: this machine could not even begin, which passes.
    if (ending == Ending::kLocalFailure || ending == Ending::kNoDescriptor) return kLocalFailure;
    const Millis spread = std::min(kEachNode * nodes, kMostAfterSilence);
    if (ending == Ending::kSilent || ending == Ending::kTimeout) return spread * random;
    if (ending == Ending::kConnectTimeout) return (asked ? kUnconnected : 1) * spread * random;
    if (asked) return std::nullopt;
    const Millis most = ending == Ending::kRejected ? kMost : std::max(kLeast, spread);
    wait_ = std::clamp(wait_ * 2, kLeast, most);
    return wait_ * (0.5 + random);
  }

 private:
  Millis wait_ = 0;
};

}  // namespace shorelead::node
