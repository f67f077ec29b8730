#include "node/upstream.h"

#include <algorithm>
#include <utility>

#include "node/connection_statistics.h"
#include "node/connections.h"
#include "node/connector.h"
#include "node/outcome.h"
#include "node/recorder.h"
#include "node/streamed_responses.h"

namespace shorelead::node {
namespace {

constexpr Millis kProbeTimeout = 250;  // a load report this old is of no use
constexpr Millis kSweepInterval = 1000;
constexpr int kMaxReadsAtDeadline = 8;      // of pending input; enough for a whole response
constexpr Millis kBodyStallTimeout = 5000;  // how long a backend may take none of a request body

}  // namespace

Upstream::Upstream(Loop& loop, Millis connect_timeout, Millis idle_timeout, Millis settle,
                   std::shared_ptr<net::FlowBudget> flows, Listener listener)
    : loop_(loop),
      listener_(std::move(listener)),
      flows_(std::move(flows)),
      connections_(std::make_unique<Connections>(loop, listener_.recorder)),
      connector_(std::make_unique<Connector>(*this)),
      streamed_responses_(std::make_unique<StreamedResponses>(*this)) {
  adopt(connect_timeout, idle_timeout, settle);
  sweep();
}

Upstream::~Upstream() {
  loop_.cancel(sweep_timer_);
  for (const auto& connection : connections_->all()) {
    if (connection->job) loop_.cancel(connection->job->timer);
    connection->detach_body();
    if (connection->response_flow) std::exchange(connection->response_flow, nullptr)->set_source({});
  }
}

void Upstream::adopt(Millis connect_timeout, Millis idle_timeout, Millis settle) {
  connector_->adopt(connect_timeout);
  connections_->adopt(idle_timeout, settle);
}

void Upstream::send(RequestId request, int attempt, BackendId backend, const std::string& dial, Millis until,
                    std::shared_ptr<const Message> message, Millis begin_by) {
  auto job = std::make_unique<Job>();
  job->request = request;
  job->attempt = attempt;
  job->started = loop_.now();
  job->until = until;
  job->begin_by = begin_by;
  job->message = std::move(message);
  start(backend, dial, std::move(job));
}

void Upstream::probe(BackendId backend, const std::string& dial) {
  auto job = std::make_unique<Job>();
  job->probe = true;
  job->started = loop_.now();
  job->until = job->started + kProbeTimeout;
  start(backend, dial, std::move(job));
}

void Upstream::start(BackendId backend, const std::string& dial, std::unique_ptr<Job> job) {
  std::shared_ptr<Connection> connection = connections_->take_idle(backend, dial, job->probe);
  const bool reused = connection != nullptr;
  if (!reused) {
    connection = std::make_shared<Connection>(
        *this, backend, dial, listener_.make_room(job->probe) ? parse_address(dial) : std::nullopt);
    connections_->add(connection);
  } else {
    connections_->mark_in_use(*connection);
  }
  connection->opened_for_probe = !reused && job->probe;
  if (connection->opened_for_probe) ++probing_;
  if (!job->probe) active_.emplace(job->request, connection.get());
  Job& under_way = *job;
  under_way.serial = ++last_serial_;
  connection->job = std::move(job);
  connection->sent = false;
  reused ? ++reused_ : ++opened_;
  connection->idle_time = reused ? loop_.now() - connection->idle_since : 0;
  if (reused) {  // a failure of a reused connection says nothing about its backend
    connection->write_request(Ending::kStoppedUnsent);
    return set_timer(*connection);
  }
  connector_->start(*connection);
  if (connection->job) set_timer(*connection);
}

void Upstream::set_timer(Connection& connection) {
  loop_.cancel(connection.job->timer);
  connection.job->timer = loop_.at(
      connection.next_check(), [this, hold = connection.shared_from_this(), serial = connection.job->serial] {
        if (hold->job && hold->job->serial == serial) on_timer(*hold);
      });
}

// Reads pending input first, lest a response that has already arrived count as late: after a time without CPU
// input and expired timers are delivered together, in any order. Returns whether the job ended.
bool Upstream::ended_by_pending_input(Connection& connection) {
  const std::uint64_t serial = connection.job->serial;
  const auto over = [&] { return !connection.job || connection.job->serial != serial; };
  for (int read = 0; read < kMaxReadsAtDeadline && !over() && connection.stream.read_now(); ++read) continue;
  return over();
}

int Upstream::other_sent_attempts(const Connection& connection) const {
  const auto [first, last] = active_.equal_range(connection.job->request);
  return static_cast<int>(std::count_if(
      first, last, [&connection](const auto& one) { return one.second != &connection && one.second->sent; }));
}

void Upstream::on_timer(Connection& connection) {
  if (!connection.stream.open()) return connector_->on_timer(connection);
  if (ended_by_pending_input(connection)) return;
  const Job& job = *connection.job;
  const Millis now = loop_.now();
  if (connection.stream.connected() && connection.sending_body()) {
    const bool stuck = !connection.stream.flushed() && now - connection.body_progress >= kBodyStallTimeout;
    if (!stuck && now < job.begin_by) return set_timer(connection);
  } else if (now < connection.next_check()) {
    return set_timer(connection);  // the deadline has moved since the timer was set
  } else if (!connection.stream.connected()) {
    return connector_->on_timer(connection);
  } else if (connection.written() && job.response_begun && !job.buffer_whole) {
    connection.job->buffer_whole = !listener_.may_stream(job.request);
    if (job.buffer_whole) return set_timer(connection);
    connection.response.raw = std::exchange(connection.stream.input(), {});
    return start_streaming(connection);
  }
  finish(connection, connection.written() ? Ending::kTimeout : Ending::kStoppedUnsent, nullptr, false);
}

// Starts forwarding a long response from its first bytes on; with that the attempt is over.
void Upstream::start_streaming(Connection& connection) {
  const std::shared_ptr<Connection> hold = connection.shared_from_this();
  if (!streamed_responses_->begin(connection)) return finish(connection, Ending::kErred, nullptr, false);
  finish(connection, Ending::kServed, &connection.response, false);
  const auto& flow = connection.response_flow;  // without a sink: the request already has another response
  if (flow && !flow->has_sink()) streamed_responses_->end(connection, StreamedResponses::End::kAbandoned);
}

void Upstream::finish(Connection& connection, Ending ending, const Message* response, bool keep) {
  const std::unique_ptr<Job> job = std::move(connection.job);
  loop_.cancel(job->timer);
  Result result;
  result.ending = ending;
  result.elapsed = loop_.now() - job->started;
  if (response != nullptr) {
    result.load = parse_load(response->value("x-server-load"));
    if (!result.load && job->probe) result.load = parse_load(response->body());
  }
  result.response = response;
  result.flow = connection.response_flow;
  connection.detach_body();
  if (connection.sent)
    connections_->record(connection.idle_time, ending == Ending::kBroken && connection.response.raw.empty());
  const bool sent = std::exchange(connection.sent, false);
  if (listener_.recorder != nullptr && !job->probe)
    listener_.recorder->attempt_over(job->request, job->attempt, ending, sent, never_ran(ending));
  if (std::exchange(connection.opened_for_probe, false)) --probing_;
  if (!job->probe) {
    const auto [first, last] = active_.equal_range(job->request);
    active_.erase(
        std::find_if(first, last, [&connection](const auto& one) { return one.second == &connection; }));
  }
  const std::shared_ptr<Connection> hold = connection.shared_from_this();  // it owns `response`
  if (connection.response_flow) {  // the connection is still receiving the response
  } else if (keep && !connection.withdrawn && listener_.keep(job->probe)) {
    connections_->mark_idle(connection, !job->probe);
  } else {
    connections_->close(connection, connection.withdrawn ? Ending::kWithdrawn : ending);
  }
  // A backend that did not answer may have lost its idle connections too: a request on one would be reset
  // later and might have run, while a failed connect proves that nothing did. But a connection used since
  // this attempt began shows that the backend is there and that only this response was lost.
  if (ending == Ending::kTimeout && !job->probe) {
    for (const auto& other : connections_->of_backends({connection.backend})) {
      if (other->idle_pos && other->idle_since < job->started) connections_->close(*other, Ending::kTimeout);
    }
  }
  if (job->probe) {
    listener_.probe_done(connection.backend, result);
  } else {
    listener_.attempt_done(job->request, job->attempt, result);
  }
}

void Upstream::cancel(RequestId request, int attempt) {
  const auto [first, last] = active_.equal_range(request);
  const auto found =
      std::find_if(first, last, [attempt](const auto& one) { return one.second->job->attempt == attempt; });
  if (found == last) return;
  const std::shared_ptr<Connection> hold = found->second->shared_from_this();
  finish(*hold, hold->written() ? Ending::kCancelled : Ending::kStoppedUnsent, nullptr, false);
}

void Upstream::withdraw(const std::vector<BackendId>& unwanted) {
  for (const BackendId backend : unwanted) connector_->forget(backend);
  const auto found = connections_->of_backends(unwanted);
  for (const auto& connection : found) {
    connection->withdrawn = true;
    if (connection->idle_pos) connections_->close(*connection, Ending::kWithdrawn);
  }
  for (const auto& connection : found) {  // checked again, as reporting the end of one may end others
    if (connection->job && !connection->sent) finish(*connection, Ending::kStoppedUnsent, nullptr, false);
  }
}

void Upstream::cancel_unsent(RequestId request) {
  std::vector<std::shared_ptr<Connection>> found;
  const auto [first, last] = active_.equal_range(request);
  for (auto it = first; it != last; ++it) found.push_back(it->second->shared_from_this());
  for (const auto& connection : found) {
    if (connection->job && !connection->written())
      finish(*connection, Ending::kStoppedUnsent, nullptr, false);
  }
}

void Upstream::backend_restarted(BackendId backend, Millis started) {
  for (const auto& connection : connections_->of_backends({backend})) {
    if (connection->opened_at >= started) continue;
    connection->withdrawn = true;
    if (connection->idle_pos) connections_->close(*connection, Ending::kWithdrawn);
  }
}

void Upstream::close_idle(const std::vector<BackendId>& backends) {
  for (const auto& connection : connections_->of_backends(backends)) {
    if (connection->idle_pos) connections_->close(*connection, Ending::kEvicted);
  }
}

bool Upstream::evict_idle() { return connections_->evict_idle(); }
Millis Upstream::oldest_idle_since() const { return connections_->oldest_idle_since(); }
std::size_t Upstream::connections() const { return connections_->count(); }
std::size_t Upstream::idle() const { return connections_->idle(); }

void Upstream::sweep() {
  sweep_timer_ = loop_.after(kSweepInterval, [this] { sweep(); });
  connections_->sweep();
}

}  // namespace shorelead::node
