// The client of the key-value store (etcd): executes the calls of the member and the planner, and watches the
// plan. Owns the calls in flight and the latest header. Every call is answered exactly once, and never
// synchronously; an answer that arrives after the timeout is dropped. Makes no decisions of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "fleet/latest_header.h"
#include "fleet/member_events.h"
#include "fleet/plan_watch.h"
#include "fleet/planner_events.h"
#include "fleet/spec.h"
#include "fleet/store_connections.h"
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

  // Throws std::runtime_error if TLS is configured and its files cannot be used.
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
  void begin_call(const Campaign& call);
  void begin_call(const ReadAll& call);
  void begin_call(const PutPlan& call);
  void begin_call(const Resign& call);

  void post(const std::string& path, const std::string& body, std::function<void(Reply, Millis begun)> done);
  void txn(membership::registry::Txn txn, Answered answered, Failed failed);
  // The effective header of an answer; restarts the watch if a history was lost.
  Header effective_header(const Header& header, Millis begun, bool whole);
  // An answer to one of the two is also reported to the other, for its view of the history.
  Header to_member(const Header& header, Millis begun) {
    listener_.planner(HistoryObserved{header, begun});
    return header;
  }
  Header to_planner(const Header& header, Millis begun) {
    listener_.member(HeaderObserved{header, begun});
    return header;
  }
  membership::registry::Refusal refusal(const Reply& reply);

  const Sharing sharing_;
  const std::string planner_key_;
  const std::string plan_key_;
  const std::string members_;
  Listener listener_;
  Counters counters_;
  StoreConnections connections_;
  PlanWatch watch_;
  LatestHeader latest_;
};

}  // namespace shorelead::fleet
