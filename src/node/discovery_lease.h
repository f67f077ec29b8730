// Keeps the lease on discovery's list: feeds it the events of calls to discovery, checks after the end of a
// watch whether discovery can be reached at all, and reports the lease's validity whenever that changes. It
// calls for no list and holds none.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <string>

#include "membership/list_lease.h"
#include "node/discovery.h"
#include "node/net.h"
#include "node/reachability_check.h"
#include "settings/settings.h"

namespace shorelead::node {

class DiscoveryLease {
 public:
  using Listener = std::function<void(const ListValidity&)>;

  // `pool`: the pool's name, for the log; `address`: discovery's; `refused`: a check found nobody listening.
  DiscoveryLease(Loop& loop, std::string pool, const Poco::Net::SocketAddress& address, Listener listener,
                 std::function<void()> refused);
  ~DiscoveryLease();
  DiscoveryLease(const DiscoveryLease&) = delete;
  DiscoveryLease& operator=(const DiscoveryLease&) = delete;

  void adopt(const Settings& settings);  // for drains and for how lists are obtained
  void call_begun();
  // See Discovery::Listener::current; `received_at`: when the last byte arrived.
  void current(bool first, bool late, Millis received_at);
  void incomplete();  // see Discovery::Listener::unfinished
  void ended(Ending ending, const Discovery::CallEnd& end);
  // `requested_at`: when the configuration that names this address was requested.
  void address_changed(const Poco::Net::SocketAddress& address, Millis requested_at);
  void report();  // reports even if nothing has changed

  std::uint64_t expirations() const { return expirations_; }  // how often a valid list has expired
  Millis time_expired() const;  // for how long in all, without the time before the first valid list

 private:
  void unreachable(Millis checked_at);
  // The earliest time at which what is handled now can have happened. The process may have been suspended
  // since then.
  Millis earliest_occurrence() const;
  void report_change();
  void log_outage() const;
  void log_limit();
  void log_expiry();

  // Where lists are pushed the list is valid up to the latest check, so that they follow each other within
  // the grace period; else the checks need only show that discovery did not return between them.
  static constexpr Millis kCheckIntervalPushed = 50;
  static constexpr Millis kCheckInterval = 500;
  static constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

  Loop& loop_;
  const std::string pool_;
  const Listener listener_;
  const std::function<void()> refused_;
  membership::ListLease lease_;
  Poco::Net::SocketAddress address_;
  ReachabilityCheck reachability_;
  bool expires_ = false;  // a grace is configured, so that the list is valid for a limited time
  bool pushed_ = false;
  bool outage_logged_ = false;
  ListValidity last_;
  membership::ListLease::Limit last_limit_ = membership::ListLease::Limit::kNone;
  Loop::TimerId expiry_timer_ = 0;
  bool was_valid_ = false;      // since the start
  Millis expired_at_ = kNever;  // of the list in force; kNever = it has not expired
  std::uint64_t expirations_ = 0;
  Millis expired_before_ = 0;  // in earlier expirations
};

}  // namespace shorelead::node
