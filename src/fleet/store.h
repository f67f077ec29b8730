// The client of the store of keys: carries out what a member and a planner call for, and watches the plan.
// Owns the calls under way and the highest revision heard. It must never answer a call more or less than
// once, nor within the call itself, nor take an answer of one that it gave up; whether anything is to be done
// it leaves to others.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "fleet/latest_header.h"
#include "fleet/member_events.h"
#include "fleet/plan_watch.h"
#include "fleet/planner_events.h"
#include "fleet/spec.h"
#include "fleet/store_lines.h"
#include "membership/registry/writes.h"

namespace shorelead::fleet {

class Store {
 public:
  struct Listener {
    std::function<void(const MemberEvent&)> member;
    std::function<void(const PlannerEvent&)> planner;
    std::function<void(const std::string&)> trouble;
  };
  struct Counters {
    std::uint64_t calls = 0, lost = 0, refused = 0, unreadable = 0;
  };

  // Throws std::runtime_error where TLS is asked for and its files are of no use.
  Store(net::Loop& loop, const StoreSpec& spec, const Sharing& sharing, std::uint64_t seed,
        Listener listener);

  void begin() { watch_.begin(); }
  void carry_out(const MemberCall& call);
  void carry_out(const PlannerCall& call);

  const Counters& counters() const { return counters_; }
  const PlanWatch::Counters& watch_counters() const { return watch_.counters(); }

 private:
  using Answered = std::function<void(const membership::registry::TxnAnswer&, Millis begun)>;
  using Failed = std::function<void(const membership::registry::Refusal&)>;

  void begin_call(const GrantLease& call);
  void begin_call(const RenewLease& call);
  void begin_call(const RevokeLease& call);
  void begin_call(const PutRecord& call);
  void begin_call(const Elect& call);
  void begin_call(const ReadAll& call);
  void begin_call(const PutPlan& call);
  void begin_call(const Abdicate& call);

  void post(const std::string& path, const std::string& body, std::function<void(Reply, Millis begun)> done);
  void txn(membership::registry::Txn txn, Answered answered, Failed failed);
  // What is to be believed of an answer's header, for both; tells the watch where a history was lost.
  Header heard(const Header& header, Millis begun, bool whole);
  // Of what answers the one, the other hears as well.
  Header to_member(const Header& header, Millis begun) {
    listener_.planner(HeardHistory{header, begun});
    return header;
  }
  Header to_planner(const Header& header, Millis begun) {
    listener_.member(Heard{header, begun});
    return header;
  }
  membership::registry::Refusal refusal(const Reply& reply);

  const Sharing sharing_;
  const std::string planner_key_;
  const std::string plan_key_;
  const std::string members_;
  Listener listener_;
  Counters counters_;
  StoreLines lines_;
  PlanWatch watch_;
  LatestHeader latest_;
};

}  // namespace shorelead::fleet
