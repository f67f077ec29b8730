// What connections to backends teach: for how long unused ones are good, how long a new one may take to come
// up, and what load an answer reports. Pure: it must never touch a connection.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <unordered_set>

#include "base/millis.h"
#include "policy/policy.h"

namespace shorelead::node {

std::optional<LoadReport> parse_load(std::string_view text);

// For how long a connection that stands unused is good, learned from what became of the requests on them:
// backends, or what lies between, may close them well before the stated time, and the word of it comes late.
// A request written then ends as one that may have run.
class KeptRecord {
 public:
  // Of a request on a connection unused for `age` before it (0 for a new one): whether it broke with no
  // answer.
  void note(Millis age, bool broke, Millis now);
  bool fit(Millis age, Millis now) const;

 private:
  struct Slot {
    double broke = 0;  // share of late
    Millis unfit_until = 0;
  };
  static std::size_t slot(Millis age);
  std::array<Slot, 16> slots_;  // by age: under 25 ms, under 50 ms, under 100 ms, ...
};

// How long a connection may take to come up, learned from those that did: one towards a machine that was lost
// says nothing at all, and a request that waits for it until its own time is up has none left for another
// backend, though nothing can have run. Never over the stated time; a probe always gets that, and tells which
// backends are farther away than the others.
class ConnectWait {
 public:
  explicit ConnectWait(Millis most) : most_(most) {}
  void state(Millis most) { most_ = most; }

  Millis limit(BackendId backend, bool probe) const;
  void came_up(BackendId backend, Millis took);
  void gave_up();                                          // before the stated time
  void forget(BackendId backend) { far_.erase(backend); }  // its number may go to another

 private:
  Millis common() const;

  Millis most_;
  Millis median_ = 0;  // moved a little by each; 0 = none came up yet
  std::unordered_set<BackendId> far_;
};

}  // namespace shorelead::node
