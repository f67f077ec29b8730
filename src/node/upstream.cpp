#include "node/upstream.h"

#include <algorithm>
#include <utility>

#include "node/connecting.h"
#include "node/connection_statistics.h"
#include "node/connections.h"
#include "node/outcome.h"
#include "node/recorder.h"
#include "node/streamed_responses.h"

namespace shorelead::node {
namespace {

constexpr Millis kProbeWait = 250;  // a probe unanswered by then tells nothing any more
constexpr Millis kSweepEvery = 1000;
constexpr int kReadsAtLimit = 8;  // of what lies there when a time is up: a whole answer, and its head
constexpr Millis kBodyStandstill = 5000;  // for which a backend may take none of a request's body

}  // namespace

Upstream::Upstream(Loop& loop, Millis connect_timeout, Millis idle_timeout, Millis settle,
                   std::shared_ptr<net::FlowBudget> flows, Listener listener)
    : loop_(loop),
      listener_(std::move(listener)),
      connections_(std::make_unique<Connections>(loop, listener_.recorder)),
      connecting_(std::make_unique<Connecting>(*this)),
      streamed_responses_(std::make_unique<StreamedResponses>(loop, std::move(flows))) {
  adopt(connect_timeout, idle_timeout, settle);
  sweep();
}

Upstream::~Upstream() {
  loop_.cancel(sweep_);
  for (const auto& connection : connections_->all()) {
    if (connection->job) loop_.cancel(connection->job->limit);
    connection->leave_body();
    if (connection->answer_flow) std::exchange(connection->answer_flow, nullptr)->set_source({});
  }
}

void Upstream::adopt(Millis connect_timeout, Millis idle_timeout, Millis settle) {
  connecting_->adopt(connect_timeout);
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
  begin(backend, dial, std::move(job));
}

void Upstream::probe(BackendId backend, const std::string& dial) {
  auto job = std::make_unique<Job>();
  job->probe = true;
  job->started = loop_.now();
  job->until = job->started + kProbeWait;
  begin(backend, dial, std::move(job));
}

void Upstream::begin(BackendId backend, const std::string& dial, std::unique_ptr<Job> job) {
  std::shared_ptr<Connection> connection = connections_->take_idle(backend, dial, job->probe);
  const bool reused = connection != nullptr;
  if (!reused) {
    connection = std::make_shared<Connection>(
        *this, backend, dial, listener_.make_room(job->probe) ? parse_address(dial) : std::nullopt);
    connections_->add(connection);
  } else {
    connections_->use(*connection);
  }
  connection->opened_for_probe = !reused && job->probe;
  if (connection->opened_for_probe) ++probing_;
  if (!job->probe) working_.emplace(job->request, connection.get());
  Job& under_way = *job;
  under_way.serial = ++last_serial_;
  connection->job = std::move(job);
  connection->asked = false;
  reused ? ++reused_ : ++opened_;
  connection->age = reused ? loop_.now() - connection->unused_since : 0;
  if (reused) {
    connection->write_request(Ending::kStoppedUnsent);  // a kept connection's fault is not its backend's
    return watch(*connection);
  }
  connecting_->start(*connection);
  if (connection->job) watch(*connection);
}

void Upstream::watch(Connection& connection) {
  loop_.cancel(connection.job->limit);
  connection.job->limit = loop_.at(
      connection.limit(), [this, hold = connection.shared_from_this(), serial = connection.job->serial] {
        if (hold->job && hold->job->serial == serial) limit(*hold);
      });
}

// Reads first: after a time without a processor, an answer that came and its time limit are found together.
bool Upstream::over_by_now(Connection& connection) {
  const std::uint64_t serial = connection.job->serial;
  const auto over = [&] { return !connection.job || connection.job->serial != serial; };
  for (int read = 0; read < kReadsAtLimit && !over() && connection.stream.read_now(); ++read) continue;
  return over();
}

int Upstream::others_out(const Connection& connection) const {
  const auto [first, last] = working_.equal_range(connection.job->request);
  return static_cast<int>(std::count_if(first, last, [&connection](const auto& one) {
    return one.second != &connection && one.second->asked;
  }));
}

void Upstream::limit(Connection& connection) {
  if (!connection.stream.open()) return connecting_->look_after(connection);
  if (over_by_now(connection)) return;
  const Job& job = *connection.job;
  const Millis now = loop_.now();
  const bool too_late = now >= job.begin_by;
  if (connection.stream.connected() && connection.sending_body()) {
    const bool stuck = !connection.stream.flushed() && now - connection.body_moved >= kBodyStandstill;
    if (!stuck && !too_late) return watch(connection);
  } else if (now < connection.limit()) {
    return watch(connection);  // it has come further
  } else if (!connection.stream.connected()) {
    return connecting_->look_after(connection);
  } else if (connection.written() && job.begun) {
    connection.answer.raw = std::exchange(connection.stream.input(), {});
    return pass_on(connection);
  }
  finish(connection, connection.written() ? Ending::kTimeout : Ending::kStoppedUnsent, nullptr, false);
}

// The answer at hand is long: from its first bytes on it goes to whoever asked, and the attempt is over.
void Upstream::pass_on(Connection& connection) {
  const std::shared_ptr<Connection> hold = connection.shared_from_this();
  if (!streamed_responses_->begin(connection)) return finish(connection, Ending::kErred, nullptr, false);
  finish(connection, Ending::kServed, &connection.answer, false);
  if (connection.answer_flow && !connection.answer_flow->has_sink()) connection.end_flow(false);  // answered
}

void Upstream::finish(Connection& connection, Ending ending, const Message* answer, bool keep) {
  const std::unique_ptr<Job> job = std::move(connection.job);
  loop_.cancel(job->limit);
  Result result;
  result.ending = ending;
  result.elapsed = loop_.now() - job->started;
  if (answer != nullptr) {
    result.load = parse_load(answer->value("x-server-load"));
    if (!result.load && job->probe) result.load = parse_load(answer->body());
  }
  result.answer = answer;
  result.flow = connection.answer_flow;
  connection.leave_body();
  if (connection.asked)
    connections_->note(connection.age, ending == Ending::kBroken && connection.answer.raw.empty());
  const bool asked = std::exchange(connection.asked, false);
  if (listener_.recorder != nullptr && !job->probe)
    listener_.recorder->attempt_over(job->request, job->attempt, ending, asked, never_ran(ending));
  if (std::exchange(connection.opened_for_probe, false)) --probing_;
  if (!job->probe) {
    const auto [first, last] = working_.equal_range(job->request);
    working_.erase(
        std::find_if(first, last, [&connection](const auto& one) { return one.second == &connection; }));
  }
  const std::shared_ptr<Connection> hold = connection.shared_from_this();  // the answer is the connection's
  if (connection.answer_flow) {
    // Goes on carrying it.
  } else if (keep && !connection.withdrawn && listener_.keep(job->probe)) {
    connections_->rest(connection, !job->probe);
  } else {
    connections_->forget(connection, connection.withdrawn ? Ending::kWithdrawn : ending);
  }
  // A silent backend may have lost these as well: requests on them would be reset later and might have run; a
  // new one that fails proves that nothing ran. One used since this attempt began shows the backend is there.
  if (ending == Ending::kTimeout && !job->probe) {
    for (const auto& other : connections_->of({connection.backend})) {
      if (other->unused && other->unused_since < job->started) connections_->forget(*other, Ending::kTimeout);
    }
  }
  if (job->probe) {
    listener_.probe_done(connection.backend, result);
  } else {
    listener_.attempt_done(job->request, job->attempt, result);
  }
}

void Upstream::call_off(RequestId request, int attempt) {
  const auto [first, last] = working_.equal_range(request);
  const auto found =
      std::find_if(first, last, [attempt](const auto& one) { return one.second->job->attempt == attempt; });
  if (found == last) return;
  const std::shared_ptr<Connection> hold = found->second->shared_from_this();
  finish(*hold, hold->written() ? Ending::kCancelled : Ending::kStoppedUnsent, nullptr, false);
}

void Upstream::withdraw(const std::vector<BackendId>& unwanted) {
  for (const BackendId backend : unwanted) connecting_->forget(backend);
  const auto found = connections_->of(unwanted);
  for (const auto& connection : found) {
    connection->withdrawn = true;
    if (connection->unused) connections_->forget(*connection, Ending::kWithdrawn);
  }
  // What is told of one may end others.
  for (const auto& connection : found) {
    if (connection->job && !connection->asked) finish(*connection, Ending::kStoppedUnsent, nullptr, false);
  }
}

void Upstream::stop_unsent(RequestId request) {
  std::vector<std::shared_ptr<Connection>> found;
  const auto [first, last] = working_.equal_range(request);
  for (auto it = first; it != last; ++it) {
    if (!it->second->asked) found.push_back(it->second->shared_from_this());
  }
  for (const auto& connection : found) {
    if (connection->job && !connection->asked) finish(*connection, Ending::kStoppedUnsent, nullptr, false);
  }
}

void Upstream::restarted(BackendId backend, Millis started) {
  for (const auto& connection : connections_->of({backend})) {
    if (connection->opened_at >= started) continue;
    connection->withdrawn = true;
    if (connection->unused) connections_->forget(*connection, Ending::kWithdrawn);
  }
}

void Upstream::close_unused(const std::vector<BackendId>& backends) {
  for (const auto& connection : connections_->of(backends)) {
    if (connection->unused) connections_->forget(*connection, Ending::kEvicted);
  }
}

bool Upstream::evict_idle() { return connections_->evict_idle(); }
Millis Upstream::unused_since() const { return connections_->unused_since(); }
std::size_t Upstream::connections() const { return connections_->count(); }
std::size_t Upstream::idle() const { return connections_->idle(); }

void Upstream::sweep() {
  sweep_ = loop_.after(kSweepEvery, [this] { sweep(); });
  connections_->sweep();
  streamed_responses_->sweep();
}

}  // namespace shorelead::node
