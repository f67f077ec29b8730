#include "node/upstream.h"

#include <algorithm>
#include <utility>

#include "node/connections.h"
#include "node/long_answers.h"

namespace shorelead::node {
namespace {

constexpr Millis kConnectUntold = 1000;  // where the settings do not tell how long to wait for a connection
constexpr Millis kProbeWait = 250;       // a probe unanswered by then tells nothing any more
constexpr Millis kSweepEvery = 1000;
constexpr double kHoldBegun = 0.7;   // of an attempt's time, for which an answer of unknown length is kept
constexpr Millis kLookAtBody = 250;  // how often a request's body that goes out is looked after
constexpr Millis kBodyStandstill = 5000;  // for which a backend may take none of it

}  // namespace

Upstream::Upstream(Loop& loop, Millis connect_timeout, Millis idle_timeout, Millis settle,
                   std::shared_ptr<net::FlowBudget> flows, Listener listener)
    : loop_(loop),
      connect_wait_(kConnectUntold),
      listener_(std::move(listener)),
      connections_(std::make_unique<Connections>(loop)),
      long_answers_(std::make_unique<LongAnswers>(loop, std::move(flows))) {
  adopt(connect_timeout, idle_timeout, settle);
  sweep();
}

Upstream::~Upstream() {
  loop_.cancel(sweep_);
  for (const auto& link : connections_->all()) {
    if (link->job) loop_.cancel(link->job->limit);
    link->leave_body();
    if (link->answer_flow) std::exchange(link->answer_flow, nullptr)->set_source({});
  }
}

void Upstream::adopt(Millis connect_timeout, Millis idle_timeout, Millis settle) {
  connect_wait_.state(connect_timeout > 0 ? connect_timeout : kConnectUntold);
  connections_->adopt(idle_timeout, settle);
}

void Upstream::send(RequestId request, int attempt, BackendId backend, const std::string& dial, Millis until,
                    std::shared_ptr<const Message> message) {
  auto job = std::make_unique<Job>();
  job->request = request;
  job->attempt = attempt;
  job->started = loop_.now();
  job->until = until;
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
  std::shared_ptr<Link> link = connections_->take_idle(backend, dial, job->probe);
  const bool reused = link != nullptr;
  if (!reused) {
    link = std::make_shared<Link>(*this, backend, dial,
                                  listener_.make_room(job->probe) ? parse_address(dial) : std::nullopt);
    connections_->add(link);
  } else {
    connections_->use(*link);
  }
  link->opened_for_probe = !reused && job->probe;
  if (link->opened_for_probe) ++probing_;
  if (!job->probe) working_.emplace(job->request, link.get());
  Job& under_way = *job;
  under_way.serial = ++last_serial_;
  link->job = std::move(job);
  link->asked = false;
  reused ? ++reused_ : ++opened_;
  if (!link->stream.open()) {
    // Not from within the caller, who is still busy with what it had decided.
    loop_.later([this, link] {
      if (link->job) finish(*link, link->stream.failure(), nullptr, false);
    });
    return;
  }
  link->age = reused ? loop_.now() - link->unused_since : 0;
  // A connection that does not come up leaves time for another backend, as nothing can have run.
  const Millis up =
      reused ? under_way.until : under_way.started + connect_wait_.limit(backend, under_way.probe);
  if (up < under_way.until) return link->limit(up, [this, link] { connect_limit(link); });
  link->limit(under_way.until, [this, link] { time_limit(link); });
  // After its limit was set: a body that goes out whole now brings one of its own.
  if (reused) link->write_request();
}

// Guards against calling an answer late that lies there to be read: after a time in which this node got no
// processor, what came in and what fell due are found together, in any order.
bool Upstream::over_by_now(Link& link) {
  const std::uint64_t serial = link.job->serial;
  link.stream.read_now();
  return !link.job || link.job->serial != serial;
}

void Upstream::connect_limit(const std::shared_ptr<Link>& link) {
  if (over_by_now(*link)) return;
  if (!link->stream.connected()) {
    connect_wait_.gave_up();
    return finish(*link, Ending::kConnectTimeout, nullptr, false);
  }
  // What was read just now may have brought a limit of its own: the connection came up, and a body went out.
  if (link->job->limit == 0) link->limit(link->job->until, [this, link] { time_limit(link); });
}

void Upstream::time_limit(const std::shared_ptr<Link>& link) {
  if (over_by_now(*link)) return;
  if (link->job->message && link->job->message->flow && link->body && !link->body_sent)
    return body_limit(link);
  finish(*link, link->written() ? Ending::kTimeout : Ending::kStoppedUnsent, nullptr, false);
}

// While a request's body comes, its time stands: what counts is that the backend takes what there is. From
// the last byte on the attempt has as long as it was given.
void Upstream::body_limit(const std::shared_ptr<Link>& link) {
  Job& job = *link->job;
  const Millis now = loop_.now();
  if (link->body_sent) {
    // What is told of its length is the backend's time: were the client's with its body in it, every backend
    // would look slow, and requests be refused for it.
    job.until = now + std::max(job.until - std::exchange(job.started, now), 1.0);
    return link->limit(job.until, [this, link] { time_limit(link); });
  }
  const bool stuck = !link->stream.flushed() && now - link->body_moved >= kBodyStandstill;
  if (stuck) return finish(*link, Ending::kStoppedUnsent, nullptr, false);
  link->limit(now + kLookAtBody, [this, link] { time_limit(link); });
}

// Kept for most of the attempt's time, as a short one is better whole: until then it can still be another's.
void Upstream::begun(const std::shared_ptr<Link>& link) {
  Job& job = *link->job;
  if (std::exchange(job.begun, true)) return;
  link->limit(job.started + kHoldBegun * (job.until - job.started), [this, link] {
    if (over_by_now(*link)) return;
    link->answer.raw = std::exchange(link->stream.input(), {});
    pass_on(*link);
  });
}

// The answer at hand is long: from its first bytes on it goes to whoever asked, and the attempt is over.
void Upstream::pass_on(Link& link) {
  const std::shared_ptr<Link> hold = link.shared_from_this();
  if (!long_answers_->begin(link)) return finish(link, Ending::kErred, nullptr, false);
  finish(link, Ending::kServed, &link.answer, false);
  if (link.answer_flow && !link.answer_flow->has_sink())
    link.end_flow(false);  // its request had been answered before
}

void Upstream::finish(Link& link, Ending ending, const Message* answer, bool keep) {
  const std::unique_ptr<Job> job = std::move(link.job);
  loop_.cancel(job->limit);
  Result result;
  result.ending = ending;
  result.elapsed = loop_.now() - job->started;
  if (answer != nullptr) {
    result.load = parse_load(answer->value("x-server-load"));
    if (!result.load && job->probe) result.load = parse_load(answer->body());
  }
  result.answer = answer;
  result.flow = link.answer_flow;
  link.leave_body();
  if (link.asked) connections_->note(link.age, ending == Ending::kBroken && link.answer.raw.empty());
  link.asked = false;
  if (std::exchange(link.opened_for_probe, false)) --probing_;
  if (!job->probe) {
    const auto [first, last] = working_.equal_range(job->request);
    working_.erase(std::find_if(first, last, [&link](const auto& one) { return one.second == &link; }));
  }
  const std::shared_ptr<Link> hold = link.shared_from_this();  // the answer is the link's
  if (link.answer_flow) {
    // Goes on carrying it.
  } else if (keep && !link.withdrawn && listener_.keep(job->probe)) {
    connections_->rest(link, !job->probe);
  } else {
    connections_->forget(link);
  }
  // Whoever is silent may have lost the connections kept to it as well: what is sent on them then would be
  // reset later and might have run, while a new one that does not come up proves that nothing did. But one
  // used since this attempt began shows that the backend is there, and only this answer was lost.
  if (ending == Ending::kTimeout && !job->probe) {
    for (const auto& other : connections_->of({link.backend})) {
      if (other->unused && other->unused_since < job->started) connections_->forget(*other);
    }
  }
  if (job->probe) {
    listener_.probe_done(link.backend, result);
  } else {
    listener_.attempt_done(job->request, job->attempt, result);
  }
}

void Upstream::call_off(RequestId request, int attempt) {
  const auto [first, last] = working_.equal_range(request);
  const auto found =
      std::find_if(first, last, [attempt](const auto& one) { return one.second->job->attempt == attempt; });
  if (found == last) return;
  const std::shared_ptr<Link> hold = found->second->shared_from_this();
  finish(*hold, hold->written() ? Ending::kCalledOff : Ending::kStoppedUnsent, nullptr, false);
}

void Upstream::withdraw(const std::vector<BackendId>& unwanted) {
  for (const BackendId backend : unwanted) connect_wait_.forget(backend);
  const auto found = connections_->of(unwanted);
  for (const auto& link : found) {
    link->withdrawn = true;
    if (link->unused) connections_->forget(*link);
  }
  // What is told of one may end others.
  for (const auto& link : found) {
    if (link->job && !link->asked) finish(*link, Ending::kStoppedUnsent, nullptr, false);
  }
}

void Upstream::stop_unsent(RequestId request) {
  std::vector<std::shared_ptr<Link>> found;
  const auto [first, last] = working_.equal_range(request);
  for (auto it = first; it != last; ++it) {
    if (!it->second->asked) found.push_back(it->second->shared_from_this());
  }
  for (const auto& link : found) {
    if (link->job && !link->asked) finish(*link, Ending::kStoppedUnsent, nullptr, false);
  }
}

void Upstream::close_unused(const std::vector<BackendId>& backends) {
  for (const auto& link : connections_->of(backends)) {
    if (link->unused) connections_->forget(*link);
  }
}

bool Upstream::evict_idle() { return connections_->evict_idle(); }
Millis Upstream::unused_since() const { return connections_->unused_since(); }
std::size_t Upstream::connections() const { return connections_->count(); }
std::size_t Upstream::idle() const { return connections_->idle(); }

void Upstream::sweep() {
  connections_->sweep();
  long_answers_->sweep();
  sweep_ = loop_.after(kSweepEvery, [this] { sweep(); });
}

}  // namespace shorelead::node
