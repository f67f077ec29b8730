// The backends of a simulated fleet: slots, a bounded queue each, and what is wrong with them when. Owns who
// is in them; knows no process and no plan.
#pragma once

#include <deque>
#include <vector>

#include "base/random.h"
#include "sim.h"

namespace shorelead::plans::sim {

class Backends {
 public:
  explicit Backends(const Scenario& scenario) : scenario_(scenario), backends_(count()) {}

  // Among those of a zone (-1: any) and of a half of the pools that are not known to be dead, the one with
  // least to do of three drawn; -1: none drawn.
  int choose(int zone, bool last_pool, Random& random, Millis now) const {
    int best = -1;
    for (int tries = 0, drawn = 0; tries < 40 && drawn < 3; ++tries) {
      const int at = static_cast<int>(random.below(count()));
      if (zone >= 0 && at % scenario_.zones != zone) continue;
      if (scenario_.bad_pool.to > 0 && in_last_pool(at) != last_pool) continue;
      if (dead(at, now - kKnown)) continue;
      ++drawn;
      if (best < 0 || load(at) < load(best)) best = at;
    }
    return best;
  }

  bool dead(int at, Millis now) const {
    return scenario_.dead.holds(now) && at * 2 >= static_cast<int>(count());
  }
  // Refuses, or has it: then `starts` says whether it is at work on it at once.
  bool take(int at, int request, Millis now, bool& starts) {
    Backend& backend = backends_[static_cast<std::size_t>(at)];
    starts = backend.busy < scenario_.slots;
    if (dead(at, now) || (!starts && static_cast<int>(backend.waiting.size()) >= scenario_.queue))
      return false;
    if (starts) {
      ++backend.busy;
    } else {
      backend.waiting.push_back(request);
    }
    return true;
  }
  // One is done. The next that still waits, or -1.
  template <typename Gone>
  int next(int at, Gone gone) {
    Backend& backend = backends_[static_cast<std::size_t>(at)];
    while (!backend.waiting.empty()) {
      const int request = backend.waiting.front();
      backend.waiting.pop_front();
      if (!gone(request)) return request;
    }
    --backend.busy;
    return -1;
  }
  Millis work(int at, Random& random, Millis now) const {
    const bool slow = (scenario_.bad_zone.holds(now) && at % scenario_.zones == 0) ||
                      (scenario_.bad_pool.holds(now) && in_last_pool(at));
    return -std::log(1 - random.unit()) * scenario_.service * (slow ? 20 : 1);
  }
  // Share of the slots of a zone (-1: all) that nobody needs, those known to be dead left out.
  double room(int zone, Millis now) const {
    double slots = 0;
    double used = 0;
    for (int at = 0; at < static_cast<int>(count()); ++at) {
      if ((zone >= 0 && at % scenario_.zones != zone) || dead(at, now - kKnown)) continue;
      slots += scenario_.slots;
      used += std::min(scenario_.slots, load(at));
    }
    return slots > 0 ? 1 - used / slots : 0;
  }

 private:
  static constexpr Millis kKnown = 500;  // a dead backend is known for one so long after
  struct Backend {
    int busy = 0;
    std::deque<int> waiting;
  };
  std::size_t count() const { return static_cast<std::size_t>(scenario_.backends); }
  bool in_last_pool(int at) const { return at * 4 >= scenario_.backends * 3; }
  int load(int at) const {
    const Backend& backend = backends_[static_cast<std::size_t>(at)];
    return backend.busy + static_cast<int>(backend.waiting.size());
  }

  const Scenario& scenario_;
  std::vector<Backend> backends_;
};

}  // namespace shorelead::plans::sim
