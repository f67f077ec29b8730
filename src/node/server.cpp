#include "node/server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

namespace shorelead::node {
namespace {

constexpr int kOwnDescriptors = 32;    // standard streams, reactor, timers, signals, listener, watch, spare
constexpr double kFlowShare = 0.25;    // of the node's memory, for bodies that are not kept whole
constexpr double kMemoryUntold = 256;  // MB, where the configuration does not tell
constexpr int kCrowded = 8;            // room is short when less than one in so many descriptors is free
constexpr int kRoomy = 2;              // and plentiful when less than one in so many is in use
constexpr int kManyUnused = 6;         // clients' unused connections are many beyond one in so many
constexpr Millis kBansWait = 5000;     // for the file of those that are out by hand

}  // namespace

Server::Server(Loop& loop, const Config& config, const Waits& waits, const Place& place)
    : loop_(loop),
      recorder_(loop),
      config_(config),
      limits_(config.limits),
      keys_in_force_(config.keys),
      waits_(waits),
      reloader_(loop, {[this]() -> const ConfigKeys& { return keys_in_force_; },
                       [this](Config fresh) { take_up(std::move(fresh)); }}),
      admissions_(loop, place.inherited.has_value(),
                  [this](RequestId request) { request_table_.again(request); }),
      generations_(loop, admissions_,
                   {[this](const PoolConfig& one, const Config& whole) { return make_pool(one, whole); },
                    [this](Pool& pool) {
                      pool.ban(bans_->bans());
                      pool.start();
                    },
                    [this](std::shared_ptr<const RoutingSnapshot> next) {
                      recorder_.generation(next->number);
                      front_->go_by(std::move(next));
                    }}),
      room_(generations_.pools(), [this] { return most_streams(); }),
      request_table_([this](RequestId request, const Refusal& words) { front_->refuse(request, words); }),
      shutdown_(loop, waits.accept_on,
                {[this]() -> Front& { return *front_; }, [this] { return open_requests(); },
                 [this] { return admissions_.give_back(snapshot()); }}),
      hot_restart_(loop, place,
                   {[this] { return could_serve(); }, [this](bool held) { front_->hold(held); },
                    [this] { return front_->listening(); },
                    [this] { return generations_.pools().front()->list_text(); },
                    [this] { return shutdown_.leaving(); }, [this] { flows_->state(flow_bytes()); },
                    [this] { trim(); }, [this] { shutdown_.replaced(); },
                    [this] { return shutdown_.resume(); }, [this] { return admissions_.give_reserve(); },
                    [this](Millis before) { admissions_.take_reserve(before); }}),
      readiness_(loop, {.list = waits.list, .pushed_list = waits.pushed_list}) {
  limits_.sockets = allowed_descriptors(limits_.sockets);
  flows_ = std::make_shared<net::FlowBudget>(flow_bytes());
  const auto listed = [this](const std::string& id) {
    return std::any_of(generations_.pools().begin(), generations_.pools().end(),
                       [&id](const auto& pool) { return pool->lists(id); });
  };
  bans_ = std::make_unique<BanList>(loop_, listed, [this] {
    for (const auto& pool : generations_.pools()) pool->ban(bans_->bans());
  });
  generations_.begin(config);
  Front::Entry entry(config.listen);
  entry.shared = !hot_restart_.alone();
  if (place.inherited) entry.listening = place.inherited->listener;
  front_ = std::make_unique<Front>(
      loop_, entry, generations_.snapshot(),
      Front::Listener{
          [this](RequestId request, const RequestInfo& info, const RequestRoute& request_route,
                 std::shared_ptr<const Message> message) {
            request_table_.take(request, info, request_route, std::move(message));
          },
          [this](RequestId request) { request_table_.gone(request); },
          [this] {
            const bool is_ready = ready();
            if (is_ready) readiness_.log_first(snapshot());
            return recorder_.reported_ready(is_ready);
          },
          [this] { return Stream::open_count() * kCrowded >= most_streams() * (kCrowded - 1); },
          [this](std::size_t unused) { return static_cast<int>(unused) * kManyUnused > most_streams(); },
          [this] { return Stream::open_count() * kRoomy < most_streams(); },
          [this] { return room_.make(limits::Purpose::kClient, *front_); },
          [this](RequestId request, Millis due) { request_table_.body_whole(request, due); }, flows_,
          &recorder_});
  if (!hot_restart_.alone()) bans_->share(place.bans());
  admissions_.go_by(snapshot(), snapshot());
  for (const auto& pool : generations_.pools()) pool->start();
  hot_restart_.begin();
  if (config.admin) {
    admin_server_ = std::make_unique<AdminServer>(loop_, *config.admin,
                                                  [this](const manage::Call& told) { return call(told); });
  }
}

std::shared_ptr<Pool> Server::make_pool(const PoolConfig& config, const Config& whole) {
  Pool::Host host;
  host.serve = [this](RequestId request, const Message& answer, const std::shared_ptr<net::Flow>& flow) {
    request_table_.close(request, FleetAdmission::End::kServed);
    front_->serve(request, answer, flow);
  };
  host.refuse = [this](RequestId request, Millis wait) {
    request_table_.close(request, FleetAdmission::End::kFailed);
    front_->refuse(request, {.why = snapshot().admission ? kWhyNoRoom : "", .wait = wait});
  };
  host.fail = [this](RequestId request, int status) {
    request_table_.close(request, FleetAdmission::End::kFailed);
    front_->fail(request, status);
  };
  host.make_room = [this](limits::Purpose purpose) { return room_.make(purpose, *front_); };
  host.keep = [this](limits::Purpose purpose) { return room_.keep(purpose); };
  host.still_waits = [this](RequestId request) { return front_->still_waits(request); };
  host.recorder = &recorder_;
  // Pools of one node must not draw the same numbers; a node of one pool draws as it always has.
  const std::uint64_t seed = whole.pools.size() <= 1 ? whole.seed : whole.seed ^ subset::hash_of(config.name);
  return std::make_shared<Pool>(loop_, config, seed, flows_, std::move(host));
}

// The node's, not this process's alone: replaced, it speaks for the one that serves.
bool Server::ready() const {
  if (hot_restart_.replaced()) return true;
  return bool(guard::may_report_ready(
      {.held = front_->held(), .draining = !shutdown_.serving(), .list_known = could_serve()}));
}

bool Server::could_serve() const {
  if (!readiness_.admission_suffices(snapshot())) return false;
  if (!bans_->known() && readiness_.running() < kBansWait) return false;
  return readiness_.lists_suffice(snapshot(), hot_restart_.beside());
}

int Server::most_streams() const {
  const int all = hot_restart_.two_run() ? limits_.sockets / 2 : limits_.sockets;
  return all - kOwnDescriptors - (config_.admin ? AdminServer::kDescriptors : 0);
}

std::size_t Server::flow_bytes() const {
  const double mb = limits_.memory_mb > 0 ? limits_.memory_mb : kMemoryUntold;
  return static_cast<std::size_t>(mb * 1048576 * kFlowShare / (hot_restart_.two_run() ? 2 : 1));
}

// Down to what it may hold from now on, as far as connections stand unused.
void Server::trim() {
  flows_->state(flow_bytes());
  while (Stream::open_count() > most_streams()) {
    if (!room_.evict_of_pools() && !front_->evict_idle()) return;
  }
}

std::size_t Server::open_requests() const {
  std::size_t count = 0;
  for (const auto& pool : generations_.pools()) count += pool->open_requests();
  return count;
}

std::string Server::call(const manage::Call& call) {
  const bool of_this_process = call.kind == manage::CallKind::kReady ||
                               call.kind == manage::CallKind::kDrain ||
                               call.kind == manage::CallKind::kResume;
  if (hot_restart_.replaced() && of_this_process) return manage::no("replaced: another process serves");
  switch (call.kind) {
    case manage::CallKind::kReady:
      return ready() ? manage::yes("ready") : manage::no(shutdown_.serving() ? "not ready yet" : "draining");
    case manage::CallKind::kShowStat:
      return manage::listing(metrics());
    case manage::CallKind::kDisable:
    case manage::CallKind::kEnable:
      return bans_->change(call);
    case manage::CallKind::kDrain:
      shutdown_.drain();
      return manage::yes("draining");
    case manage::CallKind::kResume:
      if (!shutdown_.resume()) return manage::no("this process is about to end");
      return manage::yes("serving");
  }
  return manage::no("unknown call");
}

std::string Server::metrics() const {
  manage::Gauges gauges;
  for (const auto& pool : generations_.pools()) {
    gauges.upstream_tries += pool->written();
    gauges.known_backends += pool->in_list();
    gauges.skipped_backends += pool->skipped();
  }
  gauges.upstream_tries += generations_.written_by_ended();
  gauges.loads = reloader_.done();
  gauges.load_errors = reloader_.refused();
  gauges.rule_violations = recorder_.violations();
  return manage::metrics_text(front_->request_counters(), gauges);
}

void Server::shut_down() {
  recorder_.phase(guard::ProcessPhase::kLeaving);
  shutdown_.shut_down(std::min(snapshot().longest_deadline(), waits_.deadline), hot_restart_.replaced());
}

void Server::take_up(Config fresh) {
  const Limits before = std::exchange(limits_, fresh.limits);
  limits_.sockets = allowed_descriptors(limits_.sockets);
  flows_->state(flow_bytes());
  try {
    const bool adopts = fresh.pools.empty() && config_.pools.empty();
    adopts ? generations_.adopt(fresh) : generations_.follow(fresh);
    if (!adopts) spdlog::info("configuration reloaded, {} sockets", limits_.sockets);
  } catch (const std::exception&) {
    limits_ = before;
    flows_->state(flow_bytes());
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
      readiness_.running() / 1000, all.taken(), all.passed, all.dropped, all.bad_gateway, all.left,
      front.left_early, front.malformed, reloader_.done(), reloader_.refused(), snapshot().number,
      generations_.pools().size(), request_table_.stood_in());
  spdlog::info("counters: answers {}",
               listed(front.by_status, [](int code) { return std::to_string(code); }));
  recorder_.log_counters();
  if (snapshot().admission) snapshot().admission->log_counters();
  for (const auto& pool : generations_.pools()) {
    pool->log_counters(generations_.pools().size() > 1 ? "pool " + pool->name() + ": " : std::string());
  }
  spdlog::info(
      "counters: sockets open={} most={} clients={} accepted={} silent={} unused={} evicted={} paused={}",
      Stream::open_count(), room_.most_seen(), front_->clients(), front_->acceptor().accepted(), front.silent,
      front.idle, front.evicted, front_->acceptor().pauses());
  spdlog::info("counters: descriptors state={} most={} backends_budget={} probing={}",
               limits::name_of(room_.rules().state(room_.counts())), most_streams(),
               room_.rules().backends_budget(), room_.counts().probing);
  spdlog::info("counters: open_requests={} worst_timer_lag_ms={:.2f} wakeups={}", open_requests(),
               loop_.worst_lag(), loop_.wakeups());
}

}  // namespace shorelead::node
