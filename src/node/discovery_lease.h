// The lease on discovery's list, kept by what becomes of the calls to discovery, and told whenever it
// changes. Owns the lease; it must never call discovery, nor see a list.
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
  using Told = std::function<void(const ListValidity&)>;

  // `pool`: its name, for the log.
  DiscoveryLease(Loop& loop, std::string pool, Told told);

  void adopt(const Settings& settings);  // what they say of drains and of how lists come
  void asked();
  void current(bool first);  // as Discovery::Listener::current
  void unfinished();         // as Discovery::Listener::unfinished
  void ended(Ending ending, const Discovery::CallEnd& end);
  void moved();
  void tell();  // also where nothing has changed

 private:
  void tell_change();

  Loop& loop_;
  const std::string pool_;
  const Told told_;
  membership::ListLease lease_;
  ListValidity last_;
};

}  // namespace shorelead::node
