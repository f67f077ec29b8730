#include "node/upstream.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

#include "node/request_head.h"

namespace shorelead::node {
namespace {

constexpr double kIdleShare = 0.5;       // of the time after which a backend may close: we close before it
constexpr Millis kIdleUntold = 10000;    // where the settings do not tell that time
constexpr Millis kConnectUntold = 1000;  // nor for how long to wait for a connection
constexpr Millis kProbeWait = 250;       // a probe unanswered by then tells nothing any more
constexpr Millis kSweepEvery = 1000;
constexpr Millis kStandstill = 30000;  // of an answer that has begun: then its backend will not go on
constexpr double kHoldBegun = 0.7;     // of an attempt's time, for which an answer of unknown length is kept
constexpr Millis kLookAtBody = 250;    // how often a request's body that goes out is looked after
constexpr Millis kBodyStandstill = 5000;  // for which a backend may take none of it
constexpr std::size_t kMostIdle = 32;     // connections kept for one backend
constexpr std::size_t kMostSettling = 8;  // of them, those held back until they have settled

}  // namespace

struct Upstream::Job {
  bool probe = false;
  RequestId request = 0;
  int attempt = 0;
  Millis started = 0;
  Millis until = 0;
  std::shared_ptr<const Message> message;
  Loop::TimerId limit = 0;
  std::uint64_t serial = 0;
  bool counted = false;  // among the attempts written whole
  bool begun = false;    // an answer of unknown length is coming
};

// One connection to a backend, with the job that it carries, if any.
class Upstream::Link : public Stream::Handler, public std::enable_shared_from_this<Link> {
 public:
  Link(Upstream& owner, BackendId backend, std::string dial,
       const std::optional<Poco::Net::SocketAddress>& address)
      : owner(owner), backend(backend), dial(std::move(dial)), stream(owner.loop_, *this, address) {}

  bool idle() const { return stream.open() && job == nullptr && answer_flow == nullptr; }

  void write_request() {
    if (!job->probe && !owner.listener_.may_write(job->request)) {
      // Not from within the caller, who is still busy with what it had decided.
      return owner.loop_.later([hold = shared_from_this(), serial = job->serial] {
        if (hold->job && hold->job->serial == serial) {
          hold->owner.finish(*hold, Ending::kStoppedUnsent, nullptr, false);
        }
      });
    }
    answer = Message(Parser::Kind::kResponse, net::kAnyLength);
    std::vector<std::string_view> pieces;
    std::string own;
    if (job->probe) {
      own = "GET /-/load HTTP/1.1\r\nHost: " + dial + "\r\n\r\n";
      pieces.push_back(own);
    } else {
      const Message& message = *job->message;
      request_head(message, job->until - owner.loop_.now(), own, pieces);
      if (message.head().method.in(message.raw) == "HEAD") answer.parser.expect_no_body();
      pieces.push_back(message.body());
    }
    stream.send(pieces);
    asked = true;
    if (!job->probe && job->message->flow) begin_body();
    note_written();
  }

  // ---- a request's body that comes by parts ----

  void begin_body() {
    body = job->message->flow;
    stream.bound_send_buffer();
    body->set_sink({[this] { send_body(); },
                    [this] {
                      // Its client left, or spoilt it: what the backend has is not whole, so it cannot run.
                      owner.loop_.later([hold = shared_from_this(), serial = job ? job->serial : 0] {
                        Link& link = *hold;
                        if (link.job && link.job->serial == serial)
                          link.owner.finish(link, Ending::kStoppedUnsent, nullptr, false);
                      });
                    }});
    body_moved = owner.loop_.now();
    send_body();
  }

  void send_body() {
    if (!job || !body || body_sent || !stream.open() || !stream.flushed()) return;
    const std::string part = body->take();
    const bool last = body->ended() && body->empty();
    if (part.empty() && !last) return;
    body_moved = owner.loop_.now();
    body_sent = last;
    stream.send(net::FramedPart(part, !body->length(), last).pieces());
    if (last) owner.body_limit(shared_from_this());
    note_written();
  }

  void leave_body() {
    if (body) body->clear_sink();
    body.reset();
    body_sent = false;
  }

  // Counts the attempt at hand once its last byte is written.
  void note_written() {
    if (!job || job->probe || job->counted || !written()) return;
    job->counted = true;
    ++owner.written_;
  }

  void on_flushed(Stream&) override {
    if (body && !body_sent) return send_body();
    note_written();
  }

  // Whether the backend can have begun what this link carries.
  bool written() const { return asked && stream.flushed() && (!body || body_sent); }

  void on_connected(Stream&) override {
    if (!job) return;
    owner.connect_wait_.came_up(backend, owner.loop_.now() - job->started);
    write_request();
  }

  // ---- an answer that goes on coming while it is passed on ----

  // Whether more is to come, or it has ended; tells the flow.
  void flow_on() {
    const std::shared_ptr<Link> hold = shared_from_this();
    moved_at = owner.loop_.now();
    answer.raw += std::exchange(stream.input(), {});
    const Parser::State state = answer.parser.advance(answer.raw);
    const std::shared_ptr<net::Flow> flow = answer_flow;
    if (state != Parser::State::kBad) flow->put(answer.parser.take_body(answer.raw));
    if (!answer_flow) return;  // nobody wants it any more
    if (state == Parser::State::kBad) return end_flow(false);
    if (state == Parser::State::kDone) return end_flow(true);
    if (flow->full()) stream.want_input(false);
  }

  void end_flow(bool whole) {
    const std::shared_ptr<Link> hold = shared_from_this();
    const std::shared_ptr<net::Flow> flow = std::exchange(answer_flow, nullptr);
    flow->set_source({});
    owner.passing_.erase(this);
    const bool keep = whole && answer.head().keep_alive && answer.raw.size() == answer.parser.size() &&
                      clean && !withdrawn && stream.open() && owner.listener_.keep(false);
    if (keep) {
      stream.want_input(true);
      settled_at = owner.loop_.now() + owner.settle_;
      owner.rest(*this);
    } else {
      owner.forget(*this);
    }
    whole ? flow->end() : flow->cut();
  }

  void on_input(Stream&) override {
    if (answer_flow) return flow_on();
    if (!job) return owner.forget(*this);  // it says something unasked: never to be used again
    answer.raw = std::exchange(stream.input(), {});
    Parser::State state = answer.parser.advance(answer.raw);
    // Interim answers, however many: the final one follows. But nobody asked for another protocol.
    while (state == Parser::State::kDone && answer.head().status < 200 && answer.head().status != 101) {
      answer.raw.erase(0, answer.parser.size());
      answer.parser.reset();
      state = answer.parser.advance(answer.raw);
    }
    if (state == Parser::State::kBad) return owner.finish(*this, Ending::kMalformed, nullptr, false);
    const int status = answer.head().status;
    if (state == Parser::State::kBody && answer.parser.large()) {
      // Of any but a 200 the rest does not matter.
      if (status != 200 || job->probe) return owner.finish(*this, judge(status), nullptr, false);
      return owner.pass_on(*this);
    }
    if (state != Parser::State::kDone) {
      stream.input() = std::move(answer.raw);
      // Of unknown length, and it may be a long one: its first bytes must not wait until much of it is here.
      if (state == Parser::State::kBody && status == 200 && !job->probe && !answer.parser.length() &&
          written())
        owner.begun(shared_from_this());
      return;
    }
    if (status == 101) return owner.finish(*this, Ending::kMalformed, nullptr, false);
    // Bytes beyond the answer leave it open what the next one would be.
    const bool keep = answer.head().keep_alive && answer.raw.size() == answer.parser.size() && written();
    owner.finish(*this, judge(status), &answer, keep);
  }

  void on_end(Stream&, Ending ending) override {
    if (answer_flow) {
      return end_flow(ending == Ending::kPeerClosed && answer.parser.finish() == Parser::State::kDone);
    }
    if (!job) return owner.forget(*this);
    answer.raw = std::move(stream.input());
    if (ending == Ending::kPeerClosed && answer.parser.finish() == Parser::State::kDone) {
      return owner.finish(*this, judge(answer.head().status), &answer, false);
    }
    owner.finish(*this, broken(ending), nullptr, false);
  }

  Ending judge(int status) const {
    if (status == 200) return Ending::kServed;
    const bool away = job->probe ? status == 503
                                 : (status == 503 || status == 504) && answer.value("x-not-processed") == "1";
    return away ? Ending::kTurnedAway : Ending::kErred;
  }

  // The stream is closed by now, so what was written is as it was before.
  Ending broken(Ending ending) const {
    if (ending == Ending::kRefused || ending == Ending::kNoDescriptor) return ending;
    return written() ? Ending::kBroken : Ending::kBrokenUnsent;
  }

  Upstream& owner;
  const BackendId backend;
  const std::string dial;
  Stream stream;
  std::unique_ptr<Job> job;
  std::shared_ptr<net::Flow> body;  // of the request at hand, if it comes by parts
  bool body_sent = false;           // and its last byte was handed to the stream
  Millis body_moved = 0;
  std::shared_ptr<net::Flow> answer_flow;  // the answer is being passed on
  bool clean = false;                      // the request before it was written whole
  Millis moved_at = 0;                     // when some of it last came
  bool asked = false;                      // the request of this job was handed to the stream
  bool opened_for_probe = false;           // and it carries that probe still
  bool withdrawn = false;  // not to be kept: its backend was withdrawn, and its number may go to another
  Message answer{Parser::Kind::kResponse};
  Millis unused_since = 0;
  Millis settled_at = 0;                             // till then a second answer to its last attempt may come
  std::optional<std::list<Link*>::iterator> unused;  // its place among them
  Millis age = 0;                                    // for how long it had stood unused before this job
};

Upstream::Upstream(Loop& loop, Millis connect_timeout, Millis idle_timeout, Millis settle,
                   std::shared_ptr<net::FlowBudget> flows, Listener listener)
    : loop_(loop),
      connect_wait_(kConnectUntold),
      most_idle_(kIdleUntold),
      listener_(std::move(listener)),
      flows_(std::move(flows)) {
  adopt(connect_timeout, idle_timeout, settle);
  sweep();
}

Upstream::~Upstream() {
  loop_.cancel(sweep_);
  for (const auto& [backend, pool] : pools_) {
    for (const auto& link : pool) {
      if (link->job) loop_.cancel(link->job->limit);
      link->leave_body();
      if (link->answer_flow) std::exchange(link->answer_flow, nullptr)->set_source({});
    }
  }
}

void Upstream::adopt(Millis connect_timeout, Millis idle_timeout, Millis settle) {
  settle_ = settle;
  connect_wait_.state(connect_timeout > 0 ? connect_timeout : kConnectUntold);
  most_idle_ = idle_timeout > 0 ? kIdleShare * idle_timeout : kIdleUntold;
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
  std::shared_ptr<Link> link = take_idle(backend, dial, job->probe);
  const bool reused = link != nullptr;
  if (!reused) {
    link = std::make_shared<Link>(*this, backend, dial,
                                  listener_.make_room(job->probe) ? parse_address(dial) : std::nullopt);
    pools_[backend].push_back(link);
    ++links_;
  } else {
    use(*link);
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
  if (reused) {
    link->write_request();
  } else {
    // A connection that does not come up leaves time for another backend, as nothing can have run.
    const Millis wait = connect_wait_.limit(backend, under_way.probe);
    const Millis limit = std::min(under_way.until, under_way.started + wait);
    if (limit < under_way.until) {
      under_way.limit = loop_.at(limit, [this, link] { connect_limit(link); });
      return;
    }
  }
  under_way.limit = loop_.at(under_way.until, [this, link] { time_limit(link); });
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
  link->job->limit = loop_.at(link->job->until, [this, link] { time_limit(link); });
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
  loop_.cancel(job.limit);
  const Millis now = loop_.now();
  if (link->body_sent) {
    // What is told of its length is the backend's time: were the client's with its body in it, every backend
    // would look slow, and requests be refused for it.
    job.until = now + std::max(job.until - std::exchange(job.started, now), 1.0);
    job.limit = loop_.at(job.until, [this, link] { time_limit(link); });
    return;
  }
  const bool stuck = !link->stream.flushed() && now - link->body_moved >= kBodyStandstill;
  if (stuck) return finish(*link, Ending::kStoppedUnsent, nullptr, false);
  job.limit = loop_.at(now + kLookAtBody, [this, link] { time_limit(link); });
}

// Kept for most of the attempt's time, as a short one is better whole: until then it can still be another's.
void Upstream::begun(const std::shared_ptr<Link>& link) {
  Job& job = *link->job;
  if (std::exchange(job.begun, true)) return;
  loop_.cancel(job.limit);
  job.limit = loop_.at(job.started + kHoldBegun * (job.until - job.started), [this, link] {
    if (over_by_now(*link)) return;
    link->answer.raw = std::exchange(link->stream.input(), {});
    pass_on(*link);
  });
}

// The answer at hand is long: from its first bytes on it goes to whoever asked, and the attempt is over.
void Upstream::pass_on(Link& link) {
  const std::shared_ptr<Link> hold = link.shared_from_this();
  if (!flows_->room()) {
    spdlog::warn("no memory for one more large answer, {} are under way", flows_->open());
    return finish(link, Ending::kErred, nullptr, false);
  }
  const auto flow = std::make_shared<net::Flow>(flows_, link.answer.parser.length());
  link.answer_flow = flow;
  link.clean = link.written();
  link.moved_at = loop_.now();
  passing_.insert(&link);
  flow->put(link.answer.parser.take_body(link.answer.raw));
  flow->set_source({[&link] { link.stream.want_input(true); },
                    [this, hold] {
                      if (hold->answer_flow) hold->end_flow(false);
                    }});
  finish(link, Ending::kServed, &link.answer, false);
  if (link.answer_flow && !flow->has_sink()) link.end_flow(false);  // its request had been answered before
}

// The one used last first, so that those beyond need grow old and go. Guards against a second answer that
// comes some milliseconds after the first: it would be passed on as that to the next request; of a probe it
// would only be a wrong report. Where many settle, as at a backend that is asked hundreds of times a second,
// the one that has for longest will do.
std::shared_ptr<Upstream::Link> Upstream::best_idle(const std::vector<std::shared_ptr<Link>>& pool,
                                                    bool probe) const {
  std::shared_ptr<Link> best;
  std::shared_ptr<Link> first;
  std::size_t settling = 0;
  const Millis now = loop_.now();
  for (const auto& link : pool) {
    if (!link->idle()) continue;
    if (probe || link->settled_at <= now) {
      if (!best || link->unused_since > best->unused_since) best = link;
    } else {
      ++settling;
      if (!first || link->settled_at < first->settled_at) first = link;
    }
  }
  return best || settling < kMostSettling ? best : first;
}

std::shared_ptr<Upstream::Link> Upstream::take_idle(BackendId backend, const std::string& dial, bool probe) {
  while (true) {
    const auto pool = pools_.find(backend);
    if (pool == pools_.end()) return nullptr;
    const std::shared_ptr<Link> best = best_idle(pool->second, probe);
    if (!best) return nullptr;
    const Millis now = loop_.now();
    const Millis age = now - best->unused_since;
    const bool fit = best->dial == dial && age < most_idle_ && kept_.fit(age, now);
    // An end that has come in but was not read yet would make of this request one that may have run.
    if (fit && best->stream.quiet()) return best;
    forget(*best);
  }
}

void Upstream::rest(Link& link) {
  link.unused_since = loop_.now();
  link.unused = unused_.insert(unused_.end(), &link);
}

void Upstream::use(Link& link) {
  if (link.unused) unused_.erase(*link.unused);
  link.unused.reset();
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
  if (link.asked) kept_.note(link.age, ending == Ending::kBroken && link.answer.raw.empty(), loop_.now());
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
    if (!job->probe) link.settled_at = loop_.now() + settle_;
    rest(link);
  } else {
    forget(link);
  }
  // Whoever is silent may have lost the connections kept to it as well: what is sent on them then would be
  // reset later and might have run, while a new one that does not come up proves that nothing did. But one
  // used since this attempt began shows that the backend is there, and only this answer was lost.
  if (ending == Ending::kTimeout && !job->probe) {
    const auto pool = pools_.find(link.backend);
    const auto kept = pool == pools_.end() ? std::vector<std::shared_ptr<Link>>() : pool->second;
    for (const auto& other : kept) {
      if (other->unused && other->unused_since < job->started) forget(*other);
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
  std::vector<std::shared_ptr<Link>> found;
  for (const BackendId backend : unwanted) {
    connect_wait_.forget(backend);
    const auto pool = pools_.find(backend);
    if (pool != pools_.end()) found.insert(found.end(), pool->second.begin(), pool->second.end());
  }
  for (const auto& link : found) {
    link->withdrawn = true;
    if (link->unused) forget(*link);
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
  std::vector<std::shared_ptr<Link>> found;
  for (const BackendId backend : backends) {
    const auto pool = pools_.find(backend);
    if (pool != pools_.end()) found.insert(found.end(), pool->second.begin(), pool->second.end());
  }
  for (const auto& link : found) {
    if (link->unused) forget(*link);
  }
}

bool Upstream::evict_idle() {
  if (unused_.empty()) return false;
  forget(*unused_.front());
  return true;
}

Millis Upstream::unused_since() const { return unused_.empty() ? 0 : unused_.front()->unused_since; }

// Closes a link; it is freed once the handler at hand, which may be its own, is done.
void Upstream::forget(Link& link) {
  const std::shared_ptr<Link> hold = link.shared_from_this();
  use(link);
  link.stream.close();
  loop_.later([hold] {});
  const auto pool = pools_.find(link.backend);
  if (pool == pools_.end()) return;
  links_ -= std::erase(pool->second, hold);
  if (pool->second.empty()) pools_.erase(pool);
}

void Upstream::sweep() {
  const Millis now = loop_.now();
  std::map<BackendId, std::size_t> kept;
  for (auto it = unused_.begin(); it != unused_.end();) {
    Link& link = **it++;
    if (now - link.unused_since >= most_idle_ || ++kept[link.backend] > kMostIdle) forget(link);
  }
  std::vector<std::shared_ptr<Link>> still;
  for (Link* const link : passing_) {
    // One that is held back for its client's sake is not its backend's fault.
    if (!link->answer_flow->full() && now - link->moved_at >= kStandstill)
      still.push_back(link->shared_from_this());
  }
  for (const auto& link : still) {
    if (link->answer_flow) link->end_flow(false);
  }
  sweep_ = loop_.after(kSweepEvery, [this] { sweep(); });
}

}  // namespace shorelead::node
