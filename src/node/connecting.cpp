#include "node/connecting.h"

#include <algorithm>

namespace shorelead::node {

void Upstream::Connecting::start(Connection& connection) {
  on_its_way(connection);
  if (!connection.stream.open()) not_begun(connection);
}

// Sets the connect deadline. A connect that times out leaves time for another backend, as nothing was sent.
void Upstream::Connecting::on_its_way(Connection& connection) {
  Job& job = *connection.job;
  job.connecting = owner_.loop_.now();
  job.connect_by = job.connecting + wait_.limit(connection.backend, job.probe);
  job.connect_again = kNever;
  if (connection.stream.open()) local_failures_.began(connection.backend, job.connecting);
}

// A local failure is usually brief, and no backend has seen the request yet: the connect is retried.
void Upstream::Connecting::not_begun(Connection& connection) {
  Job& job = *connection.job;
  if (connection.stream.failure() == Ending::kLocalFailure && !job.probe) {
    job.connect_again = owner_.loop_.now() + LocalFailures::wait(++job.connect_tries);
    return;
  }
  // Deferred, as the caller may be in the middle of carrying out its own decision.
  owner_.loop_.later([&owner = owner_, hold = connection.shared_from_this(), serial = job.serial] {
    if (hold->job && hold->job->serial == serial) owner.finish(*hold, hold->stream.failure(), nullptr, false);
  });
}

void Upstream::Connecting::look_after(Connection& connection) {
  const Job& job = *connection.job;
  const Millis now = owner_.loop_.now();
  if (!connection.stream.open() && now < std::min({job.until, job.begin_by, job.connect_by}))
    return try_again(connection);
  if (!connection.stream.open()) {
    return owner_.finish(connection, local_failures_.gave_up(connection.backend, job.started), nullptr,
                         false);
  }
  if (job.connect_by >= std::min(job.until, job.begin_by))
    return owner_.finish(connection, Ending::kStoppedUnsent, nullptr, false);
  wait_.gave_up();
  owner_.finish(connection, Ending::kConnectTimeout, nullptr, false);
}

void Upstream::Connecting::try_again(Connection& connection) {
  const auto address = parse_address(connection.dial);
  if (address && connection.stream.connect(*address)) {
    on_its_way(connection);
  } else {
    not_begun(connection);
  }
  owner_.watch(connection);
}

void Upstream::Connecting::came_up(const Connection& connection) {
  wait_.came_up(connection.backend, owner_.loop_.now() - connection.job->connecting);
}

void Upstream::Connecting::forget(BackendId backend) {
  wait_.forget(backend);
  local_failures_.forget(backend);
}

}  // namespace shorelead::node
