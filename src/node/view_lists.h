// Passes discovery's lists to a membership view, with the epoch of their version numbers. It holds no list
// and judges no backend.
#pragma once

#include <cstdint>

#include "membership/view.h"
#include "node/config.h"

namespace shorelead::node {

class DiscoveryViewLists {
 public:
  // Returns the changes that the view has accepted. A whole list with a version lower than the last one comes
  // from a discovery that lost its state, and begins a new epoch.
  membership::Update apply(membership::View& view, const List& list, Millis now);

 private:
  std::uint64_t epoch_ = 1;  // of discovery's version numbers
};

}  // namespace shorelead::node
