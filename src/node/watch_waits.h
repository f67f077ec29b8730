// When a watch on the list that has ended is opened anew, as far as the host sees to it. Pure: the end of a
// watch and a random number in, a wait out. It must never ask in the module's place where a call failed:
// calls are spread over what discovery bears.
#pragma once

#include <algorithm>
#include <optional>
#include <utility>

#include "base/millis.h"
#include "net/stream.h"

namespace shorelead::node {

class WatchWaits {
 public:
  // Pushed lists: the host alone asks, ever later while nothing comes.
  static constexpr Millis kLeast = 200;
  static constexpr Millis kMost = 2000;
  // A watch that fell silent is not a call that failed: discovery may be well. What it misses counts as told
  // 6 s after its last word, of which 3 s are needed to notice. All watches may fall silent at once, and
  // discovery bears so many calls a second: from 80 nodes on they are spread over as long as pays in sum.
  static constexpr Millis kEachNode = 50;
  static constexpr Millis kMostAfterSilence = 4000;

  void told() {  // a list came
    wait_ = 0;
    told_ = true;
  }
  void reset() { *this = WatchWaits(); }  // discovery is another

  // In how long the host is to open it anew; none: the module says when. `asked`: lists are to be asked for;
  // `nodes`: that do so; `random` is of [0, 1).
  std::optional<Millis> ended(net::Ending ending, bool asked, int nodes, double random) {
    const bool told = std::exchange(told_, false);
    if (asked) {
      if (ending != net::Ending::kSilent || !told) return std::nullopt;
      return random * std::min(kEachNode * nodes, kMostAfterSilence);
    }
    wait_ = std::clamp(wait_ * 2, kLeast, kMost);
    return wait_ * (0.5 + random);
  }

 private:
  Millis wait_ = 0;
  bool told_ = false;  // since it was opened
};

}  // namespace shorelead::node
