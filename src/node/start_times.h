// When backends last started, by the loop's clock. Lists give it by the wall clock, which may have been
// stepped before or since. A label is converted when first seen and keeps that value while the list has it,
// so that a later step makes no backend younger or older.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "node/endpoint_list.h"

namespace shorelead::node {

class StartTimes {
 public:
  // `from_wall`: converts a wall-clock time to the loop's clock, as exactly as is known now.
  explicit StartTimes(std::function<Millis(Millis label)> from_wall) : from_wall_(std::move(from_wall)) {}

  // Returns the same list with start times by the loop's clock.
  List resolve(List list) {
    std::unordered_map<std::string, StartTime> before;
    if (list.whole) before.swap(start_times_);
    for (ListedBackend& backend : list.backends) {
      const Millis label = backend.started;
      if (label <= 0) continue;  // long ago
      const auto& known = list.whole ? before : start_times_;
      const auto found = known.find(backend.host);
      const bool same = found != known.end() && found->second.label == label;
      backend.started = same ? found->second.at : from_wall_(label);
      start_times_[backend.host] = {label, backend.started};
    }
    for (const ListedBackend& backend : list.backends) {
      if (backend.health == "gone") start_times_.erase(backend.host);
    }
    return list;
  }

 private:
  struct StartTime {
    Millis label = 0;  // by the wall clock
    Millis at = 0;
  };

  const std::function<Millis(Millis)> from_wall_;
  std::unordered_map<std::string, StartTime> start_times_;  // of the listed backends
};

}  // namespace shorelead::node
