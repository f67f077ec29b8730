#include "node/pool.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "node/guarded.h"

namespace shorelead::node {
namespace {

// Whether the parts of the configuration that the policy and the connections were built from are the same.
bool same_structure(const PoolConfig& a, const PoolConfig& b) {
  return a.settings == b.settings && a.host.zones == b.host.zones &&
         a.host.idle_timeout == b.host.idle_timeout && a.host.tenants == b.host.tenants &&
         a.host.classes == b.host.classes && a.fleet == b.fleet && a.view == b.view &&
         a.registry == b.registry && a.keep == b.keep && a.discovery.has_value() == b.discovery.has_value();
}

}  // namespace

Pool::Pool(Loop& loop, const PoolConfig& config, std::uint64_t seed, std::shared_ptr<net::FlowBudget> flows,
           Host host)
    : loop_(loop),
      config_(config),
      host_(std::move(host)),
      policy_host_(config.settings, config.host, seed, config.fleet),
      record_({loop, host_.recorder}) {
  policy_host_.on_deferred_action([this] {
    if (std::exchange(run_due_scheduled_, true)) return;
    loop_.later([this] { run_due(); });
  });
  upstream_ = std::make_unique<Upstream>(loop_, config.settings.connect_timeout, config.host.idle_timeout,
                                         config.host.settle, std::move(flows), upstream_listener());
  source_ = std::make_unique<BackendSource>(loop_, config, seed, source_listener());
}

Pool::~Pool() { loop_.cancel(wake_timer_); }

void Pool::start() {
  const List known = source_->known();
  record_.list(known);
  policy_host_.start(known, loop_.now());
  source_->start();
}

std::string Pool::list_text() const {
  std::vector<ListedBackend> all = listed_backends();
  for (ListedBackend& backend : all) {
    if (backend.started > 0) backend.started = loop_.to_wall(backend.started);
  }
  return node::list_text(all);
}

void Pool::ban(const manage::BanSet& bans) {
  record_.bans(bans);
  upstream_->withdraw(policy_host_.report_bans(bans, loop_.now()));
}

void Pool::body_complete(RequestId request, Millis due) {
  record_.body_complete(request, due);
  policy_host_.body_complete(request, due);
}

bool Pool::serves_as(const PoolConfig& config) const { return same_structure(config_, config); }

void Pool::follow(const PoolConfig& config) {
  if (config.name != config_.name) spdlog::info("pool {} was renamed to {}", config_.name, config.name);
  config_ = config;
  source_->follow(config);
}

std::vector<int> Pool::adopt(const PoolConfig& config) {
  config_.settings = config.settings;
  config_.host = config.host;
  source_->adopt(config.settings);
  upstream_->adopt(config.settings.connect_timeout, config.host.idle_timeout, config.host.settle);
  return policy_host_.adopt(config.settings, config.host, loop_.now());
}

bool Pool::idle() const {
  return open_.empty() && policy_host_.open_requests() == 0 && upstream_->connections() == upstream_->idle();
}

void Pool::request(RequestId request, const RequestInfo& info, std::shared_ptr<const Message> message) {
  open_[request].message = std::move(message);
  record_.request(request, policy_host_.settings(), info);
  execute(policy_host_.pick(request, info, loop_.now()));
}

void Pool::client_gone(RequestId request) {
  policy_host_.report_client_gone(request, loop_.now());
  close(request);
}

void Pool::cancel(RequestId request) {
  policy_host_.cancel(request, loop_.now());
  if (open_.count(request) == 0) return;
  host_.fail(request, 502);
  close(request);
}

void Pool::execute(const Choice& choice) {
  guarded(
      choice.request, [&] { execute_step(choice); }, [&] { fail_after_exception(choice.request); });
}

// An exception interrupted the handling of the request: nothing more is sent for it, and it fails.
void Pool::fail_after_exception(RequestId request) {
  record_.handler_threw(request);
  policy_host_.cancel(request, loop_.now());
  host_.fail(request, 500);
  close(request);
}

void Pool::execute_step(const Choice& choice) {
  const auto it = open_.find(choice.request);
  switch (choice.kind) {
    case Choice::Kind::kSend:
      // A streamed body of which a part was given to one backend is not available for another.
      if (it == open_.end() || (it->second.message->flow && it->second.message->flow->touched()))
        return attempt_done(choice.request, choice.attempt, Result());
      counters_.attempt_sent();
      record_.decided(choice, policy_host_.host(choice.backend), loop_.now());
      upstream_->send(choice.request, choice.attempt, choice.backend, policy_host_.dial(choice.backend),
                      choice.deadline, it->second.message, choice.begin_by);
      break;
    case Choice::Kind::kRefuse:
      record_.refused(choice.request, loop_.now());
      host_.refuse(choice.request, choice.retry_after);
      close(choice.request);
      break;
    case Choice::Kind::kFail: {
      const bool late = it != open_.end() && it->second.last == Ending::kTimeout;
      host_.fail(choice.request, late ? 504 : 502);
      close(choice.request);
      break;
    }
    case Choice::Kind::kPending:
    case Choice::Kind::kForward:
    case Choice::Kind::kEnded:
      break;
  }
}

// The request is over: an attempt that still waits for a connection must not be written.
void Pool::close(RequestId request) {
  open_.erase(request);
  upstream_->cancel_unsent(request);
}

// Runs the actions that are due and sets the timer for the next.
void Pool::run_due() {
  run_due_scheduled_ = false;
  const DeferredActions due = policy_host_.tick(loop_.now());
  upstream_->withdraw(due.unwanted);
  upstream_->close_idle(due.close_idle);
  for (const Choice& choice : due.choices) execute(choice);
  for (const auto& [request, attempt] : due.cancellations) upstream_->cancel(request, attempt);
  for (const BackendId backend : due.probes) probe(backend);
  if (due.start_watch) source_->watch();
  if (due.next == wake_at_ && wake_timer_ != 0) return;
  loop_.cancel(wake_timer_);
  wake_at_ = due.next;
  if (due.next > 0) {
    wake_timer_ = loop_.at(due.next, [this] {
      wake_timer_ = 0;
      run_due();
    });
  }
}

void Pool::probe(BackendId backend) {
  if (retired_) {
    // The pool that replaced this one probes its backends. Deferred, as run_due() must not call itself.
    loop_.later(
        [this, backend] { policy_host_.report_probe(backend, Ending::kNotSent, 0, nullptr, loop_.now()); });
    return;
  }
  counters_.probe_sent();
  upstream_->probe(backend, policy_host_.dial(backend));
}

void Pool::attempt_done(RequestId request, int attempt, const Result& result) {
  guarded(
      request, [&] { attempt_ended(request, attempt, result); }, [&] { fail_after_exception(request); });
}

void Pool::attempt_ended(RequestId request, int attempt, const Result& result) {
  counters_.attempt_ended(request, attempt, result.ending, result.elapsed);
  const auto it = open_.find(request);
  if (it != open_.end()) it->second.last = result.ending;
  const Choice choice =
      policy_host_.report(request, attempt, result.ending, result.elapsed,
                          result.load ? &*result.load : nullptr, loop_.now(), result.flow != nullptr);
  if (choice.kind == Choice::Kind::kForward) {
    host_.serve(request, *result.response, result.flow);
    close(request);
    return;
  }
  execute(choice);
}

void Pool::log_counters(const std::string& prefix) const {
  counters_.log(prefix);
  source_->log_counters(prefix);
  spdlog::info("counters: {}boxes={} ready={} backends={} idle={} made={} reused={} open_requests={}", prefix,
               policy_host_.backends(), policy_host_.ready(), upstream_->connections(), upstream_->idle(),
               upstream_->opened(), upstream_->reused(), policy_host_.open_requests());
  if (const auto subset = policy_host_.subset_counters()) PoolCounters::log_subset(prefix, *subset);
}

}  // namespace shorelead::node
