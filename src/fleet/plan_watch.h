// Reports the values of the plan's and the planner's keys as soon as they change: by a watch, resumed at its
// last revision, and by a range request when the watch is silent or has missed something. Owns the stream.
// Within one history an older plan is never reported after a newer one.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/random.h"
#include "fleet/history.h"
#include "fleet/member_events.h"
#include "fleet/planner_events.h"
#include "fleet/spec.h"
#include "fleet/store_connections.h"
#include "membership/registry/messages.h"

namespace shorelead::fleet {

class PlanWatch {
 public:
  struct Listener {
    std::function<void(PlanSeen)> plan;
    std::function<void(PlannerSeen)> planner;
    // Called with the header of each answer to a range or watch; returns the effective header. `latest`: the
    // revision is that of the whole store, not of one member.
    std::function<Header(const Header&, Millis begun, bool latest)> header_received;
    std::function<void(const std::string&)> trouble;
  };
  struct Counters {
    std::uint64_t watches = 0, ranges = 0, deaf = 0, unreadable = 0;
  };

  PlanWatch(net::Loop& loop, StoreConnections& connections, const Sharing& sharing, std::uint64_t seed,
            Listener listener);
  ~PlanWatch();
  PlanWatch(const PlanWatch&) = delete;
  PlanWatch& operator=(const PlanWatch&) = delete;

  void begin() { fetch(); }
  // Takes the plan's modification revision from another answer (0: there is no plan); fetches a newer plan.
  void plan_modified(std::uint64_t modified);
  void restart();  // after the history was lost
  const Counters& counters() const { return counters_; }

 private:
  void fetch();
  void fetched(const Reply& reply, Millis begun);
  void open();
  void part(const std::string& text);
  bool line(std::string text);
  void report(const membership::registry::KeyValue& item, const Header& header, Millis begun);
  void report_planner(std::uint64_t created);
  void close();
  void retry_later();  // with exponential backoff
  void restart_silence_timer();

  net::Loop& loop_;
  StoreConnections& connections_;
  const Sharing sharing_;
  const std::string plan_key_;
  const std::string planner_key_;
  Listener listener_;
  Random random_;
  Counters counters_;
  std::unique_ptr<membership::registry::Exchange> watch_;
  std::string text_;            // received from the watch, not yet a complete line
  Millis last_line_ = 0;        // arrival of the previous message
  std::uint64_t next_ = 0;      // start revision of the next watch
  std::uint64_t reported_ = 0;  // modification revision of the plan last reported
  std::uint64_t reported_by_watch_ = 0;
  std::uint64_t planner_ = 0;
  bool planner_reported_ = false;
  bool fetching_ = false;
  bool fetch_pending_ = false;
  std::uint64_t restarts_ = 0;  // answers to requests from before the last restart are ignored
  Millis backoff_ = 0;
  net::Loop::TimerId silent_at_ = 0;
  net::Loop::TimerId retry_at_ = 0;
  net::Loop::TimerId lag_check_at_ = 0;
};

// The time limit of a call.
Millis call_within(const Sharing& sharing);
// Keys of a fleet in the store.
std::string planner_key(const Sharing& sharing);
std::string plan_key(const Sharing& sharing);
std::string members_prefix(const Sharing& sharing);

}  // namespace shorelead::fleet
