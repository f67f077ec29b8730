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
  // 6 s after its last word, of which 3 s are needed to notice and 2 s are what discovery lets a call wait:
  // the rest is what calls can be spread over.
  static constexpr Millis kEachNode = 50;
  static constexpr Millis kMostAfterSilence = 1000;

  void told() {  // a list came
    wait_ = 0;
    again_ = false;
  }
  void reset() { *this = WatchWaits(); }  // discovery is another

  // In how long the host is to open it anew; none: the module says when. `asked`: lists are to be asked for;
  // `nodes`: that do so; `random` is of [0, 1).
  std::optional<Millis> ended(net::Ending ending, bool asked, int nodes, double random) {
    if (asked) {
      // Once: where the next one says nothing either, discovery is not well. A call without any word
      // (kTimeout) is as broken as a watch: one that waits too long is told so, within those 2 s.
      const bool silent = ending == net::Ending::kSilent || ending == net::Ending::kTimeout;
      if (!silent || std::exchange(again_, true)) return std::nullopt;
      return random * std::min(kEachNode * nodes, kMostAfterSilence);
    }
    wait_ = std::clamp(wait_ * 2, kLeast, kMost);
    return wait_ * (0.5 + random);
  }

 private:
  Millis wait_ = 0;
  bool again_ = false;  // one that fell silent was opened anew, and nothing came since
};

}  // namespace shorelead::node
