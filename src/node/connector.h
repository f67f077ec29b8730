// Establishes connections to backends: applies the connect timeout and retries connects that failed for a
// local cause, such as no free port. Owns the statistics for both; it writes no requests.
#pragma once

#include "node/backend_connection.h"
#include "node/connection_statistics.h"
#include "node/local_failures.h"

namespace shorelead::node {

class Upstream::Connector {
 public:
  explicit Connector(Upstream& owner) : owner_(owner), timeout_(kDefaultTimeout) {}

  void adopt(Millis connect_timeout) {
    timeout_.set_max(connect_timeout > 0 ? connect_timeout : kDefaultTimeout);
  }
  // Called once the stream's connect has begun or failed to begin.
  void start(Connection& connection);
  // Called when the connect timeout or the delay before a retry has expired.
  void on_timer(Connection& connection);
  void connected(const Connection& connection);
  // Drops what is known of a backend; its number may be reused for another.
  void forget(BackendId backend);

 private:
  void connect_begun(Connection& connection);
  void connect_failed(Connection& connection);
  void retry(Connection& connection);

  static constexpr Millis kDefaultTimeout = 1000;  // used where the settings give no connect timeout

  Upstream& owner_;
  ConnectTimeout timeout_;
  LocalFailures local_failures_;
};

}  // namespace shorelead::node
