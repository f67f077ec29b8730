#include "node/server.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace shorelead::node {
namespace {

constexpr int kReservedDescriptors = 32;  // standard streams, reactor, timers, signals, listener, spare
constexpr int kCrowdedDivisor = 8;        // crowded: less than 1/8 of the descriptors are free
constexpr int kPlentifulDivisor = 2;      // plentiful: less than 1/2 of the descriptors are in use
constexpr int kManyIdleDivisor = 6;       // too many idle: over 1/6 of the descriptors
constexpr Millis kBanFileTimeout = 5000;  // after the start, to read the file of bans

}  // namespace

Server::Server(Loop& loop, const Config& config, const Timeouts& timeouts, const RestartContext& context)
    : loop_(loop),
      recorder_(loop),
      config_(config),
      limits_(config.limits),
      keys_in_force_(config.keys),
      timeouts_(timeouts),
      reloader_(loop, {[this]() -> const ConfigKeys& { return keys_in_force_; },
                       [this](Config fresh) { apply(std::move(fresh)); }}),
      admissions_(loop, context.inherited.has_value(),
                  [this](RequestId request) { request_table_.reconsider(request); }),
      generations_(loop, admissions_,
                   {[this](const PoolConfig& pool_config, const Config& whole) {
                      return make_pool(pool_config, whole);
                    },
                    [this](Pool& pool) {
                      pool.ban(ban_list_->bans());
                      pool.start();
                    },
                    [this](std::shared_ptr<const RoutingSnapshot> next) {
                      recorder_.generation(next->number);
                      front_->use(std::move(next));
                    }}),
      room_(generations_.pools(), [this] { return max_streams(); }),
      request_table_([this](RequestId request, const Refusal& words) { front_->refuse(request, words); }),
      shutdown_(loop, timeouts.accept_on,
                {[this]() -> Front& { return *front_; }, [this] { return open_requests(); },
                 [this] { return admissions_.give_back(snapshot()); }}),
      hot_restart_(loop, context,
                   {[this] { return can_serve(); }, [this](bool held) { front_->hold(held); },
                    [this] { return front_->listening(); },
                    [this] { return generations_.pools().front()->list_text(); },
                    [this] { return shutdown_.shutting_down(); }, [this] { memory_limits_->adjust(); },
                    [this] { trim_connections(); }, [this] { shutdown_.replaced(); },
                    [this] { return shutdown_.resume(); }, [this] { return admissions_.give_reserve(); },
                    [this](Millis before) { admissions_.take_reserve(before); }}),
      readiness_(loop, {.list = timeouts.list, .pushed_list = timeouts.pushed_list}) {
  limits_.sockets = allowed_descriptors(limits_.sockets);
  memory_limits_ =
      std::make_unique<MemoryLimits>(loop_, limits_.memory_mb, !hot_restart_.standalone(), memory_host());
  const auto listed = [this](const std::string& id) {
    return std::any_of(generations_.pools().begin(), generations_.pools().end(),
                       [&id](const auto& pool) { return pool->lists(id); });
  };
  ban_list_ = std::make_unique<BanList>(loop_, listed, [this] {
    for (const auto& pool : generations_.pools()) pool->ban(ban_list_->bans());
  });
  generations_.start(config);
  Front::ListenSpec listen(config.listen);
  listen.shared = !hot_restart_.standalone();
  if (context.inherited) listen.listening = context.inherited->listener;
  front_ = std::make_unique<Front>(
      loop_, listen, generations_.snapshot(),
      Front::Listener{
          [this](RequestId request, const RequestInfo& info, const RequestRoute& request_route,
                 std::shared_ptr<const Message> message) {
            request_table_.accept(request, info, request_route, std::move(message));
          },
          [this](RequestId request) { request_table_.client_gone(request); },
          [this] {
            const bool is_ready = ready();
            if (is_ready) readiness_.log_first_ready(snapshot());
            return recorder_.reported_ready(is_ready);
          },
          [this] { return Stream::open_count() * kCrowdedDivisor >= max_streams() * (kCrowdedDivisor - 1); },
          [this](std::size_t unused) { return static_cast<int>(unused) * kManyIdleDivisor > max_streams(); },
          [this] { return Stream::open_count() * kPlentifulDivisor < max_streams(); },
          [this] { return room_.make(limits::Purpose::kClient, *front_); },
          [this](RequestId request, Millis due) { request_table_.body_complete(request, due); },
          [this](RequestId request) { return request_table_.may_have_run(request); },
          [this] { return memory_limits_->clients(); }, memory_limits_->streams(), &recorder_});
  if (!hot_restart_.standalone()) ban_list_->use_file(context.ban_file_path());
  admissions_.switch_to(snapshot(), snapshot());
  for (const auto& pool : generations_.pools()) pool->start();
  hot_restart_.begin();
  if (config.admin) {
    admin_server_ = std::make_unique<AdminServer>(
        loop_, *config.admin, [this](const manage::Call& operator_call) { return call(operator_call); });
  }
  memory_limits_->started();
}

std::shared_ptr<Pool> Server::make_pool(const PoolConfig& config, const Config& whole) {
  Pool::Host host;
  host.serve = [this](RequestId request, const Message& answer, const std::shared_ptr<net::Flow>& flow) {
    request_table_.close(request, FleetAdmission::End::kServed);
    front_->serve(request, answer, flow);
  };
  host.refuse = [this](RequestId request, Millis wait) {
    request_table_.close(request, FleetAdmission::End::kFailed);
    front_->refuse(
        request, {.proxy_status = snapshot().admission ? kProxyStatusUnavailable : "", .retry_after = wait});
  };
  host.fail = [this](RequestId request, int status) {
    request_table_.close(request, FleetAdmission::End::kFailed);
    front_->fail(request, status);
  };
  host.make_room = [this](limits::Purpose purpose) { return room_.make(purpose, *front_); };
  host.keep = [this](limits::Purpose purpose) { return room_.keep(purpose); };
  host.still_waits = [this](RequestId request) { return front_->still_waits(request); };
  host.has_read_ahead = [this](RequestId request) { return front_->has_read_ahead(request); };
  host.recorder = &recorder_;
  // Each pool needs a random sequence of its own; a node with one pool uses the configured seed itself.
  const std::uint64_t seed = whole.pools.size() <= 1 ? whole.seed : whole.seed ^ subset::hash_of(config.name);
  return std::make_shared<Pool>(loop_, config, seed, memory_limits_->streams(), std::move(host));
}

bool Server::ready() const {
  if (hot_restart_.is_replaced()) return true;  // for the whole node: the successor serves
  return bool(guard::may_report_ready(
      {.held = front_->held(), .draining = !shutdown_.serving(), .list_known = can_serve()}));
}

bool Server::can_serve() const {
  if (!readiness_.admission_suffices(snapshot())) return false;
  if (!ban_list_->file_read() && readiness_.uptime() < kBanFileTimeout) return false;
  return readiness_.lists_suffice(snapshot(), hot_restart_.started_with_predecessor());
}

int Server::max_streams() const {
  return limits_.sockets / processes() - kReservedDescriptors -
         (config_.admin ? AdminServer::kDescriptors : 0);
}

MemoryLimits::Host Server::memory_host() {
  return {[this] { return processes(); }, [this] { return front_ ? front_->held_bytes() : 0; },
          [this] {
            if (front_) front_->relieve_memory();
          },
          [this] { return memory_holders(); }};
}

// Evicts idle connections down to the limits, which halve while two processes run.
void Server::trim_connections() {
  memory_limits_->adjust();
  while (Stream::open_count() > max_streams()) {
    if (!room_.evict_of_pools() && !front_->evict_idle()) return;
  }
}

std::size_t Server::open_requests() const {
  std::size_t count = 0;
  for (const auto& pool : generations_.pools()) count += pool->open_requests();
  return count;
}

std::string Server::call(const manage::Call& call) {
  if (hot_restart_.is_replaced() && manage::concerns_process(call.kind))
    return manage::error_response("replaced: another process serves");
  switch (call.kind) {
    case manage::CallKind::kReady:
      return ready() ? manage::ok_response("ready")
                     : manage::error_response(shutdown_.serving() ? "not ready yet" : "draining");
    case manage::CallKind::kShowStat:
      return manage::list_response(metrics());
    case manage::CallKind::kDisable:
    case manage::CallKind::kEnable:
      return ban_list_->change(call);
    case manage::CallKind::kDrain:
      shutdown_.drain();
      return manage::ok_response("draining");
    case manage::CallKind::kResume:
      if (!shutdown_.resume()) return manage::error_response("this process is about to end");
      return manage::ok_response("serving");
  }
  return manage::error_response("unknown call");
}

std::string Server::metrics() const {
  manage::Gauges gauges;
  for (const auto& pool : generations_.pools()) {
    gauges.upstream_tries += pool->written();
    gauges.known_backends += pool->in_list();
    gauges.skipped_backends += pool->skipped();
  }
  gauges.upstream_tries += generations_.attempts_of_removed_pools();
  gauges.loads = reloader_.succeeded();
  gauges.load_errors = reloader_.failed();
  gauges.rule_violations = recorder_.violations();
  return manage::metrics_text(front_->request_counters(), gauges);
}

void Server::shut_down() {
  recorder_.phase(guard::ProcessPhase::kLeaving);
  shutdown_.shut_down(std::min(snapshot().longest_deadline(), timeouts_.deadline),
                      hot_restart_.is_replaced());
}

void Server::apply(Config fresh) {
  const Limits before = std::exchange(limits_, fresh.limits);
  limits_.sockets = allowed_descriptors(limits_.sockets);
  memory_limits_->set_limit(limits_.memory_mb);
  try {
    const bool in_place = fresh.pools.empty() && config_.pools.empty();
    in_place ? generations_.apply_in_place(fresh) : generations_.apply(fresh);
    if (!in_place) spdlog::info("configuration reloaded, {} sockets", limits_.sockets);
  } catch (const std::exception&) {
    limits_ = before;
    memory_limits_->set_limit(limits_.memory_mb);
    throw;
  }
  keys_in_force_ = std::move(fresh.keys);
}

void Server::log_counters() const {
  const FrontCounters& front = front_->counters();
  const manage::RequestCounters::Counts all = front_->request_counters().all();
  spdlog::info(
      "counters: up_s={:.1f} taken={} served={} refused={} failed={} client_gone={} left_early={} "
      "malformed={} reloads={} bad_reloads={} generation={} pools={} stood_in={}",
      readiness_.uptime() / 1000, all.taken(), all.passed, all.dropped, all.bad_gateway, all.left,
      front.left_early, front.malformed, reloader_.succeeded(), reloader_.failed(), snapshot().number,
      generations_.pools().size(), request_table_.stood_in());
  spdlog::info("counters: answers {}",
               listed(front.by_status, [](int code) { return std::to_string(code); }));
  recorder_.log_counters();
  if (snapshot().admission) snapshot().admission->log_counters();
  const bool several = generations_.pools().size() > 1;
  for (const auto& pool : generations_.pools())
    pool->log_counters(several ? "pool " + pool->name() + ": " : std::string());
  room_.log_counters(*front_);
  memory_limits_->log_counters();
  spdlog::info("counters: open_requests={} worst_timer_lag_ms={:.2f} wakeups={}", open_requests(),
               loop_.worst_lag(), loop_.wakeups());
}

}  // namespace shorelead::node
