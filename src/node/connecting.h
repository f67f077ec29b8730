// Establishes connections to backends: applies the connect timeout and retries connects that failed for a
// local cause, such as no free port. Owns the statistics for both; it writes no requests.
#pragma once

#include "node/backend_connection.h"
#include "node/connection_statistics.h"
#include "node/local_failures.h"

namespace shorelead::node {

class Upstream::Connecting {
 public:
  explicit Connecting(Upstream& owner) : owner_(owner), wait_(kUntold) {}

  void adopt(Millis connect_timeout) { wait_.state(connect_timeout > 0 ? connect_timeout : kUntold); }
  // Called once the stream's connect has begun or failed to begin.
  void start(Connection& connection);
  // Called when the connect timeout or the delay before a retry has expired.
  void look_after(Connection& connection);
  void came_up(const Connection& connection);
  // Drops what is known of a backend; its number may be reused for another.
  void forget(BackendId backend);

 private:
  void on_its_way(Connection& connection);
  void not_begun(Connection& connection);
  void try_again(Connection& connection);

  static constexpr Millis kUntold = 1000;  // used where the settings give no connect timeout

  Upstream& owner_;
  ConnectWait wait_;
  LocalFailures local_failures_;
};

}  // namespace shorelead::node
