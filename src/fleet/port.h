// The traffic thread's interface to the fleet: spends the shares of all budgets and counts what was spent.
// Owns those shares and the snapshot in force. Used on the traffic thread only. Calls on a request's path
// neither lock, wait nor allocate. A snapshot whose incarnation has ended or whose validity has expired is
// not used.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "base/millis.h"
#include "fleet/boot_clock.h"
#include "fleet/channel.h"
#include "fleet/share.h"
#include "fleet/spec.h"

namespace shorelead::fleet {

class Port {
 public:
  Port(std::shared_ptr<Channel> channel, const std::vector<Budget>& budgets, const Sharing& sharing);

  static Millis now() { return boot_now(); }

  // Of the processes of one hot restart only one has the reserve. `cease_reserve`: this one no longer has it.
  // `begin_reserve`: this one has it, and what a predecessor began with it ends within `before`. If neither
  // is called, the reserve starts with the first call.
  void cease_reserve(Millis now);
  void begin_reserve(Millis now, Millis before);

  // Puts the newest snapshot in force; to be called once per turn of the loop and when `wake_fd` is readable.
  // Returns whether there was a newer one; then the slots it closed count as busy until `slots_quiet`.
  bool take_snapshot();
  int wake_fd() const { return channel_->for_traffic.fd(); }

  // `now`: read for the request at hand. `budget`: its index in the configuration.
  Spent spend(std::size_t budget, Millis now);
  void end(std::size_t budget, Millis now);     // kAtOnce: releases one unit spent
  void taken(std::size_t budget, Millis now);   // kAttempts: counts an accepted request
  double left(std::size_t budget, Millis now);  // kAttempts: how many may be spent

  // The snapshot valid at `now`, or null. `last` also returns one that has expired.
  const Snapshot* valid(Millis now) const;
  const Snapshot* last() const { return issue() == nullptr ? nullptr : issue()->snapshot.get(); }

  void slots_quiet();  // no request is in flight in a slot that the snapshot in force has closed
  void room(double share) { channel_->traffic.room.set(share); }
  RankCells* rank(int rank);  // null if the configuration has no such rank
  const TrafficCells& cells() const { return channel_->traffic; }

 private:
  using Share = std::variant<RateShare, AtOnceShare, AttemptShare>;
  const Issue* issue() const { return channel_->issues.current(); }
  Millis valid_until() const {
    const Issue* const now = issue();
    return now == nullptr ? 0 : now->validity->until.load(std::memory_order_acquire);
  }
  void set(std::size_t budget, const Part& part, Millis now, Millis valid_until);
  void reserve_from(std::size_t budget, Millis from, Millis now);
  void count_in_use(std::size_t budget, Millis now);

  const std::shared_ptr<Channel> channel_;
  const std::vector<Budget> budgets_;
  std::vector<Share> shares_;
  struct Peak {  // highest concurrent use since `began`, and in the half second before it
    Millis began = 0;
    double now = 0;
    double before = 0;
  };
  std::vector<Peak> peaks_;
  std::uint64_t incarnation_ = 0;  // to which the parts set belong
};

}  // namespace shorelead::fleet
