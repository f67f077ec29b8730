#include "node/connector.h"

#include <algorithm>

namespace shorelead::node {

void Upstream::Connector::start(Connection& connection) {
  connect_begun(connection);
  if (!connection.stream.open()) connect_failed(connection);
}

// Sets the connect deadline. A connect that times out leaves time for another backend, as nothing was sent.
void Upstream::Connector::connect_begun(Connection& connection) {
  Job& job = *connection.job;
  job.connect_started = owner_.loop_.now();
  job.connect_by = job.connect_started + timeout_.limit(connection.backend, job.probe);
  job.retry_at = kNever;
  if (connection.stream.open()) local_failures_.connect_begun(connection.backend, job.connect_started);
}

// A local failure is usually brief, and no backend has seen the request yet: the connect is retried.
void Upstream::Connector::connect_failed(Connection& connection) {
  Job& job = *connection.job;
  if (connection.stream.failure() == Ending::kLocalFailure && !job.probe) {
    job.retry_at = owner_.loop_.now() + LocalFailures::retry_delay(++job.local_failures);
    return;
  }
  // Deferred, as the caller may be in the middle of carrying out its own decision.
  owner_.loop_.later([&owner = owner_, hold = connection.shared_from_this(), serial = job.serial] {
    if (hold->job && hold->job->serial == serial) owner.finish(*hold, hold->stream.failure(), nullptr, false);
  });
}

void Upstream::Connector::on_timer(Connection& connection) {
  const Job& job = *connection.job;
  const Millis now = owner_.loop_.now();
  if (!connection.stream.open() && now < std::min({job.until, job.begin_by, job.connect_by}))
    return retry(connection);
  if (!connection.stream.open()) {
    return owner_.finish(connection, local_failures_.gave_up(connection.backend, job.started), nullptr,
                         false);
  }
  if (job.connect_by >= std::min(job.until, job.begin_by))
    return owner_.finish(connection, Ending::kStoppedUnsent, nullptr, false);
  timeout_.timed_out();
  owner_.finish(connection, Ending::kConnectTimeout, nullptr, false);
}

void Upstream::Connector::retry(Connection& connection) {
  const auto address = parse_address(connection.dial);
  if (address && connection.stream.connect(*address)) {
    connect_begun(connection);
  } else {
    connect_failed(connection);
  }
  owner_.set_timer(connection);
}

void Upstream::Connector::connected(const Connection& connection) {
  timeout_.connected(connection.backend, owner_.loop_.now() - connection.job->connect_started);
}

void Upstream::Connector::forget(BackendId backend) {
  timeout_.forget(backend);
  local_failures_.forget(backend);
}

}  // namespace shorelead::node
