// How connections to backends come up: for how long one is waited for, and what becomes of one that this
// machine could not begin. Owns what was learnt of both; it must never write a request.
#pragma once

#include "node/backend_connection.h"
#include "node/connection_statistics.h"
#include "node/local_failures.h"

namespace shorelead::node {

class Upstream::Connecting {
 public:
  explicit Connecting(Upstream& owner) : owner_(owner), wait_(kUntold) {}

  void adopt(Millis connect_timeout) { wait_.state(connect_timeout > 0 ? connect_timeout : kUntold); }
  // A connection whose connection was begun just now, or could not be.
  void start(Connection& connection);
  // One whose time for that, or for another try, has come.
  void look_after(Connection& connection);
  void came_up(const Connection& connection);
  // Nothing is known of this backend any more; its number may go to another.
  void forget(BackendId backend);

 private:
  void on_its_way(Connection& connection);
  void not_begun(Connection& connection);
  void try_again(Connection& connection);

  static constexpr Millis kUntold = 1000;  // where the settings do not tell how long to wait for a connection

  Upstream& owner_;
  ConnectWait wait_;
  LocalFailures local_failures_;
};

}  // namespace shorelead::node
