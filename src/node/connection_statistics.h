// Statistics of connections to backends: how long an idle one stays usable, how long a connect may take, and
// the parser of the load report in a response. Pure; it performs no I/O.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <unordered_set>

#include "base/millis.h"
#include "policy/policy.h"

namespace shorelead::node {

std::optional<LoadReport> parse_load(std::string_view text);

// Learns from the outcomes of requests how long an idle connection stays usable. Backends, or middleboxes,
// may drop idle connections well before the stated idle timeout without notice. A request written on such a
// connection fails as one that may have been processed, so it cannot be retried freely.
class IdleConnectionRecord {
 public:
  // Records a request on a connection that was idle for `age` (0 for a new one), and whether it failed
  // without any response.
  void record_outcome(Millis age, bool failed, Millis now);
  bool usable(Millis age, Millis now) const;

 private:
  struct Slot {
    double failure_rate = 0;  // share of recent requests
    Millis unusable_until = 0;
  };
  static std::size_t slot(Millis age);
  std::array<Slot, 16> slots_;  // by idle time: under 25 ms, under 50 ms, under 100 ms, ...
};

// Learns from successful connects how long one may take. A connect to a lost machine gets no reply, and a
// request that waits for it until its own deadline has no time left for another backend, although nothing can
// have run. The timeout never exceeds the configured one. Probes always get the configured timeout, and so
// find out which backends are farther away than the others.
class ConnectTimeout {
 public:
  explicit ConnectTimeout(Millis max) : max_(max) {}
  void set_max(Millis max) { max_ = max; }

  Millis limit(BackendId backend, bool probe) const;
  void connected(BackendId backend, Millis took);
  void timed_out();                                            // before the configured timeout
  void forget(BackendId backend) { distant_.erase(backend); }  // its number may be reused for another

 private:
  Millis typical() const;

  Millis max_;
  Millis median_ = 0;  // adjusted by a step per connect; 0 = no connect succeeded yet
  std::unordered_set<BackendId> distant_;
};

}  // namespace shorelead::node
