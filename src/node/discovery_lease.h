// Keeps the lease on discovery's list: feeds it the events of calls to discovery and reports its validity
// whenever that changes. It makes no calls and holds no list.
#pragma once

#include <functional>
#include <string>

#include "membership/list_lease.h"
#include "node/discovery.h"
#include "node/net.h"
#include "settings/settings.h"

namespace shorelead::node {

class DiscoveryLease {
 public:
  using Listener = std::function<void(const ListValidity&)>;

  // `pool`: the pool's name, for the log.
  DiscoveryLease(Loop& loop, std::string pool, Listener listener);

  void adopt(const Settings& settings);  // for drains and for how lists are obtained
  void call_begun();
  void current(bool first);  // see Discovery::Listener::current
  void incomplete();         // see Discovery::Listener::unfinished
  void ended(Ending ending, const Discovery::CallEnd& end);
  void address_changed();
  void report();  // reports even if nothing has changed

 private:
  void report_change();

  Loop& loop_;
  const std::string pool_;
  const Listener listener_;
  membership::ListLease lease_;
  ListValidity last_;
};

}  // namespace shorelead::node
