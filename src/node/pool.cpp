#include "node/pool.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "node/guarded.h"

namespace shorelead::node {
namespace {

// Whatever of a pool's configuration its module and its connections were made from.
bool same_making(const PoolConfig& a, const PoolConfig& b) {
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
    if (std::exchange(settling_, true)) return;
    loop_.later([this] { settle(); });
  });
  const auto purpose = [](bool probe) { return probe ? limits::Purpose::kProbe : limits::Purpose::kRequest; };
  upstream_ = std::make_unique<Upstream>(
      loop_, config.settings.connect_timeout, config.host.idle_timeout, config.host.settle, std::move(flows),
      Upstream::Listener{[this](RequestId request, int attempt, const Result& result) {
                           attempt_done(request, attempt, result);
                         },
                         [this](BackendId backend, const Result& result) {
                           counters_.probe_ended(policy_host_.host(backend), result.ending, result.elapsed);
                           record_.probed(policy_host_.host(backend), result, loop_.now());
                           policy_host_.report_probe(backend, result.ending, result.elapsed,
                                                     result.load ? &*result.load : nullptr, loop_.now());
                         },
                         [this, purpose](bool probe) { return host_.make_room(purpose(probe)); },
                         [this, purpose](bool probe) { return host_.keep(purpose(probe)); },
                         [this](RequestId request, BackendId backend, Millis now, guard::RequestState& state,
                                guard::BackendState& there) {
                           policy_host_.describe(request, backend, now, state, there);
                           state.client_waiting = host_.still_waits(request);
                         },
                         [this](BackendId backend, Millis now) {
                           return record_.withdrawn(policy_host_.host(backend), now);
                         },
                         host_.recorder});
  source_ = std::make_unique<BackendSource>(
      loop_, config, seed,
      BackendSource::Listener{[this](const List& list, ListSource from) {
                                record_.list(list);
                                const auto unwanted = policy_host_.report_list(list, from, loop_.now());
                                for (const BackendId one : unwanted)
                                  record_.withdrawn_by(list.version, policy_host_.host(one));
                                upstream_->withdraw(unwanted);
                                for (const auto& one : policy_host_.take_restarted())
                                  upstream_->restarted(one.backend, one.started);
                              },
                              [this] { policy_host_.report_watch_ended(loop_.now()); },
                              [this](const ListValidity& validity) {
                                record_.validity(validity);
                                policy_host_.report_validity(validity, loop_.now());
                              }});
}

Pool::~Pool() { loop_.cancel(wake_); }

void Pool::start() {
  const List known = source_->known();
  record_.list(known);
  policy_host_.start(known, loop_.now());
  source_->start();
}

std::string Pool::list_text() const {
  std::vector<ListedBackend> all = listed_backends();
  for (ListedBackend& backend : all) {
    if (backend.born > 0) backend.born = loop_.to_wall(backend.born);
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

bool Pool::serves_as(const PoolConfig& config) const { return same_making(config_, config); }

void Pool::follow(const PoolConfig& config) {
  if (config.name != config_.name) spdlog::info("pool {} is now called {}", config_.name, config.name);
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
  carry_out(policy_host_.pick(request, info, loop_.now()));
}

void Pool::gone(RequestId request) {
  policy_host_.report_client_gone(request, loop_.now());
  close(request);
}

void Pool::cancel(RequestId request) {
  policy_host_.cancel(request, loop_.now());
  if (open_.count(request) == 0) return;
  host_.fail(request, 502);
  close(request);
}

void Pool::carry_out(const Choice& choice) {
  guarded(
      choice.request, [&] { carry_out_step(choice); }, [&] { abandon(choice.request); });
}

// Its way broke off within this node: nothing more of it is sent, and it is answered as failed.
void Pool::abandon(RequestId request) {
  record_.threw(request);
  policy_host_.cancel(request, loop_.now());
  host_.fail(request, 500);
  close(request);
}

void Pool::carry_out_step(const Choice& choice) {
  const auto it = open_.find(choice.request);
  switch (choice.kind) {
    case Choice::Kind::kSend:
      // Of a body that comes by parts, what was given to one backend is not there for another.
      if (it == open_.end() || (it->second.message->flow && it->second.message->flow->touched())) {
        Result result;
        return attempt_done(choice.request, choice.attempt, result);
      }
      counters_.attempt_sent();
      record_.decided(choice, policy_host_.host(choice.backend));
      upstream_->send(choice.request, choice.attempt, choice.backend, policy_host_.dial(choice.backend),
                      choice.deadline, it->second.message, choice.begin_by);
      break;
    case Choice::Kind::kRefuse:
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

// The request is over: an attempt at it that waits for a connection has not been sent, and is not to be.
void Pool::close(RequestId request) {
  open_.erase(request);
  upstream_->stop_unsent(request);
}

// Does what fell due, and sees to it that the next is not missed.
void Pool::settle() {
  settling_ = false;
  const DeferredActions due = policy_host_.tick(loop_.now());
  upstream_->withdraw(due.unwanted);
  upstream_->close_unused(due.close_idle);
  for (const Choice& choice : due.choices) carry_out(choice);
  for (const auto& [request, attempt] : due.cancellations) upstream_->call_off(request, attempt);
  for (const BackendId backend : due.probes) probe(backend);
  if (due.start_watch) source_->watch();
  if (due.next == wake_at_ && wake_ != 0) return;
  loop_.cancel(wake_);
  wake_at_ = due.next;
  if (due.next > 0) {
    wake_ = loop_.at(due.next, [this] {
      wake_ = 0;
      settle();
    });
  }
}

void Pool::probe(BackendId backend) {
  if (left_) {
    // By whoever has its backends now. Not from within settle(), which the answer would call.
    loop_.later(
        [this, backend] { policy_host_.report_probe(backend, Ending::kNotSent, 0, nullptr, loop_.now()); });
    return;
  }
  counters_.probe_sent();
  upstream_->probe(backend, policy_host_.dial(backend));
}

void Pool::attempt_done(RequestId request, int attempt, const Result& result) {
  guarded(
      request, [&] { attempt_ended(request, attempt, result); }, [&] { abandon(request); });
}

void Pool::attempt_ended(RequestId request, int attempt, const Result& result) {
  counters_.attempt_ended(request, attempt, result.ending, result.elapsed);
  const auto it = open_.find(request);
  if (it != open_.end()) it->second.last = result.ending;
  const Choice choice = policy_host_.report(request, attempt, result.ending, result.elapsed,
                                            result.load ? &*result.load : nullptr, loop_.now());
  if (choice.kind == Choice::Kind::kForward) {
    host_.serve(request, *result.answer, result.flow);
    close(request);
    return;
  }
  carry_out(choice);
}

void Pool::log_counters(const std::string& before) const {
  counters_.log(before);
  source_->log_counters(before);
  spdlog::info("counters: {}boxes={} ready={} backends={} idle={} made={} reused={} open_requests={}", before,
               policy_host_.backends(), policy_host_.ready(), upstream_->connections(), upstream_->idle(),
               upstream_->opened(), upstream_->reused(), policy_host_.open_requests());
  if (const auto subset = policy_host_.subset_counters()) PoolCounters::log_subset(before, *subset);
}

}  // namespace shorelead::node
