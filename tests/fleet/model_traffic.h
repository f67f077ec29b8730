// The traffic of one process in the model: spends as much as it may, as soon as it may, from the real shares,
// and sends requests for slots. Like a separate thread it uses a snapshot that it took over some time ago.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "fleet/member_events.h"
#include "fleet/model_checks.h"
#include "fleet/share.h"

namespace shorelead::fleet::model {

class ProcessTraffic {
 public:
  ProcessTraffic(const std::vector<Budget>& budgets, const Sharing& sharing, int process, Checks& checks);

  // Called by the control thread.
  void publish(std::shared_ptr<const Snapshot> snapshot) { latest_ = std::move(snapshot); }
  void set_validity(std::uint64_t incarnation, Millis valid_until);

  // `now` is on the process's clock, `at` in world time.
  void spend(Millis now, Millis at, Random& random);
  void take_over(Millis now);  // takes over the latest snapshot
  TrafficState state(Millis now, Millis at) const;
  void end_what_is_over(Millis at);

  void wish(double demand) { demand_ = demand; }
  Millis valid_until() const;
  double usable(const std::string& budget, Millis now) const;  // not counting its reserve
  double in_use() const;

 private:
  struct RequestInFlight {
    Millis ends;  // world time
    std::string rule;
    std::size_t slot;
    std::string backend;
  };
  void spend_counts(Millis now, Millis at, Random& random);
  void send_for_slots(Millis now, Millis at, Random& random);

  const std::vector<Budget> budgets_;
  const Sharing sharing_;
  const int process_;
  Checks& checks_;
  std::shared_ptr<const Snapshot> latest_;
  std::shared_ptr<const Snapshot> snapshot_;
  std::uint64_t incarnation_ = 0;
  Millis valid_until_ = 0;
  RateShare rate_;
  AtOnceShare at_once_;
  AttemptShare attempts_;
  std::vector<Millis> in_use_;  // ends of the concurrent uses, in world time
  std::vector<RequestInFlight> sends_;
  double demand_ = 1;
};

}  // namespace shorelead::fleet::model
