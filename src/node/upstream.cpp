#include "node/upstream.h"

#include <algorithm>
#include <utility>

#include "node/connecting.h"
#include "node/connections.h"
#include "node/link_lessons.h"
#include "node/long_answers.h"
#include "node/outcome.h"
#include "node/recorder.h"

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
  link->age = reused ? loop_.now() - link->unused_since : 0;
  if (reused) {
    link->write_request(Ending::kStoppedUnsent);  // what befell a kept connection says nothing of its backend
    return watch(*link);
  }
  connecting_->start(*link);
  if (link->job) watch(*link);
}

// Sets the one timer of what is under way there.
void Upstream::watch(Link& link) {
  loop_.cancel(link.job->limit);
  link.job->limit = loop_.at(link.limit(), [this, hold = link.shared_from_this(), serial = link.job->serial] {
    if (hold->job && hold->job->serial == serial) limit(*hold);
  });
}

// Guards against calling an answer late that lies there to be read: after a time in which this node got no
// processor, what came in and what fell due are found together, in any order.
bool Upstream::over_by_now(Link& link) {
  const std::uint64_t serial = link.job->serial;
  const auto over = [&] { return !link.job || link.job->serial != serial; };
  for (int read = 0; read < kReadsAtLimit && !over() && link.stream.read_now(); ++read) continue;
  return over();
}

int Upstream::others_out(const Link& link) const {
  const auto [first, last] = working_.equal_range(link.job->request);
  return static_cast<int>(std::count_if(
      first, last, [&link](const auto& one) { return one.second != &link && one.second->asked; }));
}

void Upstream::limit(Link& link) {
  if (!link.stream.open()) return connecting_->look_after(link);
  if (over_by_now(link)) return;
  const Job& job = *link.job;
  const Millis now = loop_.now();
  const bool too_late = now >= job.begin_by;
  if (link.stream.connected() && link.sending_body()) {
    const bool stuck = !link.stream.flushed() && now - link.body_moved >= kBodyStandstill;
    if (!stuck && !too_late) return watch(link);
  } else if (now < link.limit()) {
    return watch(link);  // it has come further
  } else if (!link.stream.connected()) {
    return connecting_->look_after(link);
  } else if (link.written() && job.begun) {
    link.answer.raw = std::exchange(link.stream.input(), {});
    return pass_on(link);
  }
  finish(link, link.written() ? Ending::kTimeout : Ending::kStoppedUnsent, nullptr, false);
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
  const bool asked = std::exchange(link.asked, false);
  if (listener_.recorder != nullptr && !job->probe)
    listener_.recorder->attempt_over(job->request, job->attempt, ending, asked, never_ran(ending));
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
    connections_->forget(link, link.withdrawn ? Ending::kWithdrawn : ending);
  }
  // Whoever is silent may have lost the connections kept to it as well: what is sent on them then would be
  // reset later and might have run, while a new one that does not come up proves that nothing did. But one
  // used since this attempt began shows that the backend is there, and only this answer was lost.
  if (ending == Ending::kTimeout && !job->probe) {
    for (const auto& other : connections_->of({link.backend})) {
      if (other->unused && other->unused_since < job->started) connections_->forget(*other, Ending::kTimeout);
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
  finish(*hold, hold->written() ? Ending::kCancelled : Ending::kStoppedUnsent, nullptr, false);
}

void Upstream::withdraw(const std::vector<BackendId>& unwanted) {
  for (const BackendId backend : unwanted) connecting_->forget(backend);
  const auto found = connections_->of(unwanted);
  for (const auto& link : found) {
    link->withdrawn = true;
    if (link->unused) connections_->forget(*link, Ending::kWithdrawn);
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

void Upstream::restarted(BackendId backend, Millis started) {
  for (const auto& link : connections_->of({backend})) {
    if (link->opened_at >= started) continue;
    link->withdrawn = true;
    if (link->unused) connections_->forget(*link, Ending::kWithdrawn);
  }
}

void Upstream::close_unused(const std::vector<BackendId>& backends) {
  for (const auto& link : connections_->of(backends)) {
    if (link->unused) connections_->forget(*link, Ending::kEvicted);
  }
}

bool Upstream::evict_idle() { return connections_->evict_idle(); }
Millis Upstream::unused_since() const { return connections_->unused_since(); }
std::size_t Upstream::connections() const { return connections_->count(); }
std::size_t Upstream::idle() const { return connections_->idle(); }

void Upstream::sweep() {
  sweep_ = loop_.after(kSweepEvery, [this] { sweep(); });
  connections_->sweep();
  long_answers_->sweep();
}

}  // namespace shorelead::node
