// The traffic's end of the fleet: what may be spent, asked for and counted on one thread, the traffic's. Owns
// the shares of all budgets and the snapshot in force. It must never lock, wait or allocate on a request's
// path, and never go by a snapshot whose incarnation is over or whose time has run out.
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

  // The reserve is one's alone, of all that stand in for one another: not this one's from now on; or this
  // one's, where what was begun with it before is over within `before`. Untold it begins with the first call.
  void cease_reserve(Millis now);
  void begin_reserve(Millis now, Millis before);

  // Once for each turn of the loop, and when `wake_fd` is readable: puts the newest snapshot in force, if
  // there is a newer one. Whether there was; then slots that it closed count as busy until `slots_quiet`.
  bool take_up();
  int wake_fd() const { return channel_->for_traffic.fd(); }

  // `now`: read for the request at hand. `budget`: its place in the configuration.
  Spent spend(std::size_t budget, Millis now);
  void end(std::size_t budget, Millis now);     // of so many at once: one of those spent is over
  void taken(std::size_t budget, Millis now);   // of further attempts: a request was
  double left(std::size_t budget, Millis now);  // of further attempts: how many may be spent

  // What may be gone by at `now`: null where there is none, or it ran out. The last one goes on being known.
  const Snapshot* valid(Millis now) const;
  const Snapshot* last() const { return issue() == nullptr ? nullptr : issue()->snapshot.get(); }

  void slots_quiet();  // nothing is under way in a slot that the snapshot in force has closed
  void room(double share) { channel_->traffic.room.set(share); }
  RankCells* rank(int rank);  // null where the configuration has no such rank
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
  struct Peak {  // the most in use since `began`, and in the half second before
    Millis began = 0;
    double now = 0;
    double before = 0;
  };
  std::vector<Peak> peaks_;
  std::uint64_t incarnation_ = 0;  // of the parts that are set
};

}  // namespace shorelead::fleet
