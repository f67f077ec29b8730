// What stands at the plan's and the planner's keys, told as soon as it changes: a watch, resumed where it
// ended, and a range where it is silent or known to have missed something. Owns the stream and what was told.
// It must never tell an older plan after a newer one, but in another history.
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
#include "fleet/store_lines.h"
#include "membership/registry/messages.h"

namespace shorelead::fleet {

class PlanWatch {
 public:
  struct Listener {
    std::function<void(PlanSeen)> plan;
    std::function<void(PlannerSeen)> planner;
    // Of a range's or a watch's answer; what is then to be believed of it. `latest`: it was of the whole
    // store.
    std::function<Header(const Header&, Millis begun, bool latest)> heard;
    std::function<void(const std::string&)> trouble;
  };
  struct Counters {
    std::uint64_t watches = 0, ranges = 0, deaf = 0, unreadable = 0;
  };

  PlanWatch(net::Loop& loop, StoreLines& lines, const Sharing& sharing, std::uint64_t seed,
            Listener listener);
  ~PlanWatch();
  PlanWatch(const PlanWatch&) = delete;
  PlanWatch& operator=(const PlanWatch&) = delete;

  void begin() { fetch(); }
  // An answer of the whole store says when the plan was last modified (0: there is none).
  void plan_stands(std::uint64_t modified);
  void begin_anew();  // the history was lost
  const Counters& counters() const { return counters_; }

 private:
  void fetch();
  void fetched(const Reply& reply, Millis begun);
  void open();
  void part(const std::string& text);
  bool line(std::string text);
  void tell(const membership::registry::KeyValue& item, const Header& header, Millis begun);
  void tell_planner(std::uint64_t created);
  void close();
  void again();  // later and later
  void alive();  // something was said: silence counts from now

  net::Loop& loop_;
  StoreLines& lines_;
  const Sharing sharing_;
  const std::string plan_key_;
  const std::string planner_key_;
  Listener listener_;
  Random random_;
  Counters counters_;
  std::unique_ptr<membership::registry::Exchange> watch_;
  std::string text_;        // of the watch, not yet a whole line
  Millis last_line_ = 0;    // when the message before was heard
  std::uint64_t next_ = 0;  // revision from which on the watch is told
  std::uint64_t told_ = 0;  // the plan's modification that was told
  std::uint64_t told_by_watch_ = 0;
  std::uint64_t planner_ = 0;
  bool planner_told_ = false;
  bool fetching_ = false;
  bool fetch_again_ = false;
  std::uint64_t age_ = 0;  // answers to what was asked in an earlier history count for nothing
  Millis pause_ = 0;
  net::Loop::TimerId silent_at_ = 0;
  net::Loop::TimerId again_at_ = 0;
  net::Loop::TimerId deaf_at_ = 0;
};

// A call's time limit.
Millis call_within(const Sharing& sharing);
// Keys of a fleet.
std::string planner_key(const Sharing& sharing);
std::string plan_key(const Sharing& sharing);
std::string members_prefix(const Sharing& sharing);

}  // namespace shorelead::fleet
