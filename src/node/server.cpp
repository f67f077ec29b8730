#include "node/server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>

namespace shorelead::node {
namespace {

constexpr int kOwnDescriptors =
    32;  // standard streams, reactor, timers, signals, listener, watch, some spare
constexpr double kFlowShare = 0.25;    // of the node's memory, for bodies that are not kept whole
constexpr double kMemoryUntold = 256;  // MB, where the configuration does not tell
constexpr int kCrowded = 8;            // room is short when less than one in so many descriptors is free
constexpr int kRoomy = 2;              // and plentiful when less than one in so many is in use
constexpr int kManyUnused =
    6;  // unused clients' connections are many where they take more than one in so many
constexpr Millis kLastCall = 100;  // and for a request on a connection taken in at the very end
constexpr Millis kLeaveEvery = 20;
constexpr Millis kLeaveAfter = 600;        // beyond the longest deadline, what is left is answered
constexpr Millis kReadyWaitBeside = 3000;  // for the list of now, where another process serves meanwhile
constexpr Millis kListWait =
    3000;  // for the lists of new pools, before a generation comes in force without them
constexpr Millis kLookEvery = 10;   // whether they are there
constexpr Millis kSweepEvery = 50;  // whether pools that were left are done

}  // namespace

Server::Server(Loop& loop, const Config& config, const Waits& waits, const Place& place)
    : loop_(loop),
      config_(config),
      limits_(config.limits),
      shape_(config.shape),
      place_(place),
      waits_(waits),
      room_(pools_, [this] { return most_streams(); }),
      desk_([this](RequestId request, Millis come_back, int status, const char* cause) {
        front_->refuse(request, come_back, status, cause);
      }),
      gates_(loop, place.legacy.has_value(), [this](RequestId request) { desk_.again(request); }),
      started_(loop.now()) {
  flows_ = std::make_shared<net::FlowBudget>(flow_bytes());
  const auto listed = [this](const std::string& id) {
    return std::any_of(pools_.begin(), pools_.end(), [&id](const auto& pool) { return pool->lists(id); });
  };
  bans_ = std::make_unique<BanKeeper>(loop_, listed, [this] {
    for (const auto& pool : pools_) pool->ban(bans_->bans());
  });
  Pending first = make_traffic(config);
  traffic_ = first.traffic;
  Front::Entry entry(config.listen);
  entry.shared = !place_.folder.empty();
  if (place_.legacy) entry.listening = place_.legacy->listener;
  front_ = std::make_unique<Front>(
      loop_, entry, traffic_,
      Front::Listener{
          [this](RequestId request, const Ask& ask, const Way& way, std::shared_ptr<const Message> message) {
            desk_.take(request, ask, way, std::move(message));
          },
          [this](RequestId request) { desk_.gone(request); }, [this] { return ready(); },
          [this] { return Stream::open_count() * kCrowded >= most_streams() * (kCrowded - 1); },
          [this](std::size_t unused) { return static_cast<int>(unused) * kManyUnused > most_streams(); },
          [this] { return Stream::open_count() * kRoomy < most_streams(); },
          [this] { return room_.make(limits::Purpose::kClient, *front_); },
          [this](RequestId request, Millis due) { desk_.body_whole(request, due); }, flows_});
  if (!place_.folder.empty()) {
    bans_->share(place_.bans());
  }
  gates_.go_by(*traffic_, *traffic_);
  for (const auto& pool : pools_) pool->start();
  if (place_.legacy) {
    predecessor_ = std::make_unique<handover::Successor>(loop_, place_.legacy->channel, [this] {
      spdlog::info("the process before this one has ended");
      flows_->state(flow_bytes());
    });
    front_->hold(true);
    look_if_it_could_serve();
  } else {
    wait_for_successor();
  }
  if (config.door) {
    door_ =
        std::make_unique<Door>(loop_, *config.door, [this](const manage::Call& told) { return call(told); });
  }
}

Server::~Server() {
  loop_.cancel(look_);
  loop_.cancel(sweep_);
  loop_.cancel(drain_at_);
  loop_.cancel(look_serving_);
}

std::shared_ptr<Pool> Server::make_pool(const PoolConfig& config, const Config& whole) {
  Pool::Host host;
  host.serve = [this](RequestId request, const Message& answer, const std::shared_ptr<net::Flow>& flow) {
    desk_.close(request, FleetGate::End::kServed);
    front_->serve(request, answer, flow);
  };
  host.refuse = [this](RequestId request, Millis wait) {
    desk_.close(request, FleetGate::End::kFailed);
    front_->refuse(request, wait);
  };
  host.fail = [this](RequestId request, int status) {
    desk_.close(request, FleetGate::End::kFailed);
    front_->fail(request, status);
  };
  host.make_room = [this](limits::Purpose purpose) { return room_.make(purpose, *front_); };
  host.keep = [this](limits::Purpose purpose) { return room_.keep(purpose); };
  // Pools of one node must not draw the same numbers; a node of one pool draws as it always has.
  const std::uint64_t seed = whole.pools.size() <= 1 ? whole.seed : whole.seed ^ subset::hash_of(config.name);
  return std::make_shared<Pool>(loop_, config, seed, flows_, std::move(host));
}

// Pools that are told as they are now go on, under another name if need be; the others are made.
Server::Pending Server::make_traffic(const Config& config) {
  Pending made;
  made.told = pools_of(config);
  auto traffic = std::make_shared<Traffic>();
  traffic->number = traffic_ ? traffic_->number + 1 : 1;
  traffic->classes = config.settings.classes;
  traffic->names = config.host.classes;
  traffic->tenants = config.host.tenants;
  traffic->routes = config.routes;
  std::vector<std::shared_ptr<Pool>> free = pools_;
  const auto claim = [&free](const auto& fits) {
    const auto it = std::find_if(free.begin(), free.end(), fits);
    if (it == free.end()) return std::shared_ptr<Pool>();
    const std::shared_ptr<Pool> pool = *it;
    free.erase(it);
    return pool;
  };
  traffic->pools.resize(made.told.size());
  for (std::size_t n = 0; n < made.told.size(); ++n) {
    traffic->pools[n] = claim(
        [&](const auto& pool) { return pool->name() == made.told[n].name && pool->serves_as(made.told[n]); });
  }
  for (std::size_t n = 0; n < made.told.size(); ++n) {
    const PoolConfig& told = made.told[n];
    const auto same_boxes = [&](const auto& pool) {
      const bool source = told.discovery ? pool->config().discovery == told.discovery
                                         : pool->config().known.backends == told.known.backends;
      const bool named = std::any_of(made.told.begin(), made.told.end(),
                                     [&](const PoolConfig& other) { return other.name == pool->name(); });
      return !named && source && pool->serves_as(told);
    };
    if (!traffic->pools[n]) traffic->pools[n] = claim(same_boxes);
    if (!traffic->pools[n]) {
      traffic->pools[n] = make_pool(told, config);
      pools_.push_back(traffic->pools[n]);
    }
    traffic->class_in_pool.push_back(told.classes);
    traffic->fallbacks.push_back(told.fallback);
  }
  traffic->gate = gates_.make(config, traffic_.get());
  made.traffic = std::move(traffic);
  made.until = loop_.now() + kListWait;
  return made;
}

void Server::put_in_force() {
  loop_.cancel(look_);
  if (!pending_) return;
  const std::shared_ptr<Traffic> next = pending_->traffic;
  const auto waits = [](const std::shared_ptr<Pool>& pool) { return !pool->told(); };
  const auto late = std::find_if(next->pools.begin(), next->pools.end(), waits);
  if (late != next->pools.end() && loop_.now() < pending_->until) {
    look_ = loop_.after(kLookEvery, [this] { put_in_force(); });
    return;
  }
  if (late != next->pools.end() && pending_->until > 0)
    spdlog::warn("pool {} has no list yet, generation {} goes on without", (*late)->name(), next->number);
  const std::vector<PoolConfig> told = std::move(pending_->told);
  pending_.reset();
  for (std::size_t n = 0; n < told.size(); ++n) {
    next->pools[n]->follow(told[n]);
    next->pools[n]->rejoin();
  }
  gates_.go_by(*traffic_, *next);
  traffic_ = next;
  front_->go_by(next);
  for (const auto& pool : pools_) {
    if (std::find(next->pools.begin(), next->pools.end(), pool) == next->pools.end()) pool->leave();
  }
  spdlog::info("generation {} in force: {} pools, {} routes", next->number, next->pools.size(),
               next->routes ? next->routes->routes.size() : 0);
  sweep_pools();
}

// Ends pools that nothing can come to any more and nothing is with. Never from within one of their handlers.
void Server::sweep_pools() {
  loop_.cancel(sweep_);
  const auto wanted = [this](const std::shared_ptr<Pool>& pool) {
    const auto in = [&pool](const Traffic& t) {
      return std::find(t.pools.begin(), t.pools.end(), pool) != t.pools.end();
    };
    return in(*traffic_) || (pending_ && in(*pending_->traffic));
  };
  std::size_t left = 0;
  for (const auto& pool : pools_) left += wanted(pool) ? 0 : 1;
  if (left == 0) return;
  sweep_ = loop_.after(kSweepEvery, [this, wanted] {
    std::erase_if(pools_, [&](const std::shared_ptr<Pool>& pool) {
      // Past generations hold theirs for repeats.
      const bool done = !wanted(pool) && pool.use_count() == 1 && pool->idle();
      if (done) spdlog::info("pool {} has ended", pool->name());
      if (done) written_by_ended_ += pool->written();
      return done;
    });
    sweep_pools();
  });
}

// The node's, not this process's alone: replaced, it speaks for the one that serves.
bool Server::ready() const {
  if (replaced_) return true;
  return drain_.serving() && !front_->held() && could_serve();
}

bool Server::could_serve() const {
  // Lists of earlier will do if discovery takes its time.
  bool told = true;
  bool pushed = false;
  bool known = false;
  for (const auto& pool : traffic_->pools) {
    told = told && pool->told();
    pushed = pushed || (pool->pushed() && !pool->told());
    known = known || pool->backends() > 0;
  }
  if (told) return true;
  const Millis wait = predecessor_ ? kReadyWaitBeside : pushed ? waits_.pushed_list : waits_.list;
  return known && loop_.now() - started_ >= wait;
}

int Server::most_streams() const {
  const int all = two_run() ? limits_.sockets / 2 : limits_.sockets;
  return all - kOwnDescriptors - (config_.door ? Door::kDescriptors : 0);
}

std::size_t Server::flow_bytes() const {
  const double mb = limits_.memory_mb > 0 ? limits_.memory_mb : kMemoryUntold;
  return static_cast<std::size_t>(mb * 1048576 * kFlowShare / (two_run() ? 2 : 1));
}

// Two processes are one node: each keeps to half of what it may hold.
bool Server::two_run() const {
  return (successors_ && successors_->has_successor()) || (predecessor_ && predecessor_->predecessor_lives());
}

void Server::look_if_it_could_serve() {
  if (!could_serve()) {
    look_serving_ = loop_.after(kLookEvery, [this] { look_if_it_could_serve(); });
    return;
  }
  spdlog::info("takes clients from now on, in place of the process before it");
  front_->hold(false);
  predecessor_->say_serving();
  wait_for_successor();
}

void Server::wait_for_successor() {
  if (place_.folder.empty()) return;
  handover::Predecessor::Listener listener;
  listener.listener = [this] { return front_->listening(); };
  listener.list = [this] { return pools_.front()->list_text(); };
  listener.refusal = [this] {
    if (drain_.leaving()) return std::string("it is about to end");
    return two_run() ? std::string("two processes run already") : std::string();
  };
  listener.successor_came = [this] {
    spdlog::info("a successor has come, with the listening socket and the list");
    trim();
  };
  listener.successor_serves = [this] { successor_serves(); };
  listener.successor_gone = [this] { successor_gone(); };
  try {
    successors_ = std::make_unique<handover::Predecessor>(loop_, place_.socket(), std::move(listener));
  } catch (const std::exception& error) {
    spdlog::warn("no successor can be handed anything: {}", error.what());
  }
}

void Server::successor_serves() {
  if (replaced_) return;
  spdlog::info("the successor takes clients from now on");
  replaced_ = true;
  front_->hold(true);
  drain_.replaced(loop_.now());
  let_go();
}

void Server::successor_gone() {
  spdlog::warn("the successor has ended{}",
               replaced_ ? ", this process takes clients again" : " before it served");
  flows_->state(flow_bytes());
  if (!std::exchange(replaced_, false) || !drain_.resume()) return;
  front_->hold(false);
  let_go();
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
  for (const auto& pool : pools_) count += pool->open_requests();
  return count;
}

void Server::shut_down() {
  if (drain_.leaving()) return;
  spdlog::info("shutting down, {} requests under way", open_requests());
  drain_.leave(loop_.now());
  let_go();
  Millis longest = 0;
  for (const RequestClass& request_class : traffic_->classes) {
    longest = std::max(longest, request_class.deadline);
  }
  const Millis until = loop_.now() + longest + kLeaveAfter;
  if (replaced_) {
    front_->close_listener();
    loop_.after(manage::Drain::kUnusedAtEnd, [this, until] { leave_when_empty(until); });
    return;
  }
  loop_.after(waits_.accept_on, [this, until] {
    front_->close_listener();
    loop_.after(kLastCall, [this, until] { leave_when_empty(until); });
  });
}

void Server::let_go() {
  loop_.cancel(drain_at_);
  const manage::DrainState state = drain_.state(loop_.now());
  front_->follow(state);
  spdlog::info("{}, {} requests under way, {} connections", manage::name_of(state), open_requests(),
               front_->clients());
  if (state == manage::DrainState::kDraining && drain_.until() < manage::Drain::kNever)
    drain_at_ = loop_.at(drain_.until(), [this] { let_go(); });
}

std::string Server::call(const manage::Call& call) {
  const bool of_this_process = call.kind == manage::CallKind::kReady ||
                               call.kind == manage::CallKind::kDrain ||
                               call.kind == manage::CallKind::kResume;
  if (replaced_ && of_this_process) return manage::no("replaced: another process serves");
  switch (call.kind) {
    case manage::CallKind::kReady:
      return ready() ? manage::yes("ready") : manage::no(drain_.serving() ? "not ready yet" : "draining");
    case manage::CallKind::kShowStat:
      return manage::listing(figures());
    case manage::CallKind::kDisable:
    case manage::CallKind::kEnable:
      return bans_->change(call);
    case manage::CallKind::kDrain:
      drain_.drain(loop_.now());
      let_go();
      return manage::yes("draining");
    case manage::CallKind::kResume:
      if (!drain_.resume()) return manage::no("this process is about to end");
      let_go();
      return manage::yes("serving");
  }
  return manage::no("unknown call");
}

std::string Server::figures() const {
  manage::Gauges gauges;
  for (const auto& pool : pools_) {
    gauges.upstream_tries += pool->written();
    gauges.known_backends += pool->in_list();
    gauges.skipped_backends += pool->skipped();
  }
  gauges.upstream_tries += written_by_ended_;
  gauges.loads = reloads_;
  gauges.load_errors = bad_reloads_;
  return manage::figures_text(front_->ledger(), gauges);
}

void Server::reload(const std::function<Config()>& read) {
  std::optional<Config> fresh;
  try {
    fresh = read();
    fresh->shape.covers(shape_);
    shape_ = fresh->shape;
  } catch (const std::exception& error) {
    ++bad_reloads_;
    spdlog::error("configuration not reloaded, the old one stays: {}", error.what());
    return;
  }
  ++reloads_;
  limits_ = fresh->limits;
  flows_->state(flow_bytes());
  if (fresh->pools.empty() && config_.pools.empty()) {
    // The platform's form: one pool, which goes on with what it has learnt.
    auto next = std::make_shared<Traffic>(*traffic_);
    ++next->number;
    next->classes = fresh->settings.classes;
    next->names = fresh->host.classes;
    next->tenants = fresh->host.tenants;
    next->routes = fresh->routes;
    PoolConfig told = next->pools.front()->config();
    told.discovery = fresh->discovery;
    told.settings = fresh->settings;
    told.host = fresh->host;
    next->class_in_pool = {next->pools.front()->adopt(told)};
    spdlog::info("configuration reloaded: discovery at {}, {} sockets, {} classes, {} attempts at most",
                 fresh->discovery.toString(), limits_.sockets, next->names.size(),
                 fresh->settings.max_attempts);
    pending_ = Pending{next, {told}, 0};
    return put_in_force();
  }
  spdlog::info("configuration reloaded, {} sockets", limits_.sockets);
  // What was pending is overtaken; its pools go on where the newer one has them as well.
  const std::vector<std::shared_ptr<Pool>> before = pools_;
  try {
    Pending made = make_traffic(*fresh);
    pending_ = std::move(made);
  } catch (const std::exception& error) {
    // Keys that are of no use are seen only when a pool is made.
    pools_ = before;
    ++bad_reloads_;
    spdlog::error("configuration not taken up, the old one stays: {}", error.what());
    return;
  }
  for (const auto& pool : pools_) {
    if (std::find(before.begin(), before.end(), pool) != before.end()) continue;
    pool->ban(bans_->bans());
    pool->start();
  }
  put_in_force();
  sweep_pools();
}

void Server::leave_when_empty(Millis until) {
  const auto end = [this] {
    spdlog::info("shut down, {} connections left", front_->clients());
    loop_.stop();
  };
  if (front_->empty()) return end();
  if (loop_.now() < until) {
    loop_.after(kLeaveEvery, [this, until] { leave_when_empty(until); });
    return;
  }
  // Guards against ending without an answer to what came at the very end, or has longer than any class of
  // now.
  front_->give_up();
  loop_.after(kLeaveEvery, end);
}

void Server::log_counters() const {
  const FrontCounters& front = front_->counters();
  const manage::Ledger::Counts all = front_->ledger().all();
  const auto status = [](int code) { return std::to_string(code); };
  const Millis now = loop_.now();
  spdlog::info(
      "counters: up_s={:.1f} taken={} served={} refused={} failed={} client_gone={} left_early={} "
      "malformed={} reloads={} bad_reloads={} generation={} pools={} stood_in={}",
      (now - started_) / 1000, all.taken(), all.passed, all.dropped, all.bad_gateway, all.left,
      front.left_early, front.malformed, reloads_, bad_reloads_, traffic_->number, pools_.size(),
      desk_.stood_in());
  spdlog::info("counters: answers {}", listed(front.by_status, status));
  if (traffic_->gate) traffic_->gate->log_counters();
  for (const auto& pool : pools_) {
    pool->log_counters(pools_.size() > 1 ? "pool " + pool->name() + ": " : std::string());
  }
  spdlog::info(
      "counters: sockets open={} most={} clients={} accepted={} silent={} unused={} evicted={} paused={}",
      Stream::open_count(), room_.most_seen(), front_->clients(), front.accepted, front.silent, front.idle,
      front.evicted, front.paused);
  spdlog::info("counters: descriptors state={} most={} backends_budget={} probing={}",
               limits::name_of(room_.rules().state(room_.counts())), most_streams(),
               room_.rules().backends_budget(), room_.counts().probing);
  spdlog::info("counters: open_requests={} worst_timer_lag_ms={:.2f} wakeups={}", open_requests(),
               loop_.worst_lag(), loop_.wakeups());
}

}  // namespace shorelead::node
