#include "node/view_lists.h"

#include <vector>

namespace shorelead::node {

membership::Update DiscoveryViewLists::apply(membership::View& view, const List& list, Millis now) {
  if (list.whole) {
    std::vector<membership::Entry> entries;
    entries.reserve(list.backends.size());
    for (const ListedBackend& backend : list.backends) entries.push_back({backend, list.version, false});
    if (view.known(0) && list.version < view.revision(0)) ++epoch_;
    return view.snapshot(0, epoch_, list.version, entries, now);
  }
  std::vector<membership::View::Change> changes;
  changes.reserve(list.backends.size());
  for (const ListedBackend& backend : list.backends)
    changes.push_back({{backend, list.version, false}, false});
  return view.change(0, changes, now);
}

}  // namespace shorelead::node
