#include "node/pool.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace shorelead::node {
namespace {

constexpr Millis kKeepEvery = 5000;  // the list goes to the disk at most so often
constexpr Millis kViewEvery = 250;

std::string named(Ending e) { return std::string(name_of(e)); }

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
      facade_(config.settings, config.host, seed, config.fleet),
      jitter_(seed) {
  facade_.on_errand([this] {
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
                           ++probe_endings_[result.ending];
                           spdlog::debug("probe {} {} {:.1f} ms", facade_.host(backend),
                                         name_of(result.ending), result.elapsed);
                           facade_.report_probe(backend, result.ending, result.elapsed,
                                                result.load ? &*result.load : nullptr, loop_.now());
                         },
                         [this, purpose](bool probe) { return host_.make_room(purpose(probe)); },
                         [this, purpose](bool probe) { return host_.keep(purpose(probe)); }});
  if (config.view) view_ = std::make_unique<membership::View>(*config.view);
  if (!config.keep.empty()) keeper_ = std::make_unique<membership::Keeper>(config.keep);
  if (config.registry) {
    registry_ = std::make_unique<membership::registry::Client>(
        loop_, *config.registry, *view_, 0, seed,
        membership::registry::Client::Listener{
            [this](const membership::Update& update) { tell(update); },
            [this] {
              spdlog::info("pool {}: the registry's list is there, {} boxes", name(), view_->size());
            },
            [this](const std::string& what) { spdlog::warn("pool {}: registry: {}", name(), what); }});
    return;
  }
  if (!config.discovery) return;
  discovery_ =
      std::make_unique<Discovery>(loop_, *config.discovery, config.known.version,
                                  Discovery::Listener{[this](const List& list) { list_changed(list); },
                                                      [this](Ending ending) { watch_ended(ending); }});
}

Pool::~Pool() {
  loop_.cancel(wake_);
  loop_.cancel(rewatch_);
  loop_.cancel(view_tick_);
  loop_.cancel(keep_at_);
}

void Pool::start() {
  facade_.start(config_.known, loop_.now());
  if (keeper_) start_from_disk();
  if (view_) tick_view();
  if (registry_) return registry_->start();
  if (!discovery_) return take_boxes();
  if (!config_.settings.list_on_request) discovery_->watch();
}

// The list that stands in the configuration is all that there is to know.
void Pool::take_boxes() {
  List list = config_.known;
  list.whole = true;
  list_changed(list);
}

bool Pool::serves_as(const PoolConfig& config) const { return same_making(config_, config); }

void Pool::follow(const PoolConfig& config) {
  const bool boxes = config.known.backends != config_.known.backends;
  if (config.name != config_.name) spdlog::info("pool {} is now called {}", config_.name, config.name);
  config_ = config;
  if (registry_) return;
  if (!discovery_) {
    if (boxes) take_boxes();
    return;
  }
  const bool waited = rewatch_ != 0;
  loop_.cancel(rewatch_);
  watch_waits_.reset();
  discovery_->move(*config.discovery);
  if (waited || !config_.settings.list_on_request) discovery_->watch();
}

std::vector<int> Pool::adopt(const PoolConfig& config) {
  config_.settings = config.settings;
  config_.host = config.host;
  upstream_->adopt(config.settings.connect_timeout, config.host.idle_timeout, config.host.settle);
  return facade_.adopt(config.settings, config.host, loop_.now());
}

bool Pool::idle() const {
  return open_.empty() && facade_.open_requests() == 0 && upstream_->connections() == upstream_->idle();
}

bool Pool::told() const {
  if (registry_) return registry_->synced();
  return !discovery_ || discovery_->listed();
}

// A list of which the module was told nothing may be old by any time; whatever is wrong with it the source
// will tell, and until then attempts and probes do.
void Pool::start_from_disk() {
  std::string cause;
  const auto kept = membership::load_kept(config_.keep, cause);
  if (!kept) {
    if (!cause.empty()) spdlog::error("pool {}: {} is not used: {}", name(), config_.keep, cause);
    return;
  }
  spdlog::info("pool {}: starts from {}: {} boxes, {:.0f} s old", name(), config_.keep, kept->members.size(),
               (loop_.now() - kept->written) / 1000);
  List list;
  list.whole = true;
  list.backends = kept->members;
  facade_.report_list(list, ListSource::kStored, loop_.now());
}

// Discovery's lists as the view has them. A whole list with a number below the last is of a discovery that
// has lost its memory.
membership::Update Pool::through_view(const List& list) {
  const Millis now = loop_.now();
  if (list.whole) {
    std::vector<membership::Entry> entries;
    entries.reserve(list.backends.size());
    for (const ListedBackend& backend : list.backends) entries.push_back({backend, list.version, false});
    if (view_->known(0) && list.version < view_->revision(0)) ++epoch_;
    return view_->snapshot(0, epoch_, list.version, entries, now);
  }
  std::vector<membership::View::Change> changes;
  changes.reserve(list.backends.size());
  for (const ListedBackend& backend : list.backends)
    changes.push_back({{backend, list.version, false}, false});
  return view_->change(0, changes, now);
}

// What the view has made of it, to the module.
void Pool::tell(const membership::Update& update) {
  if (registry_ && registry_->follower().counters().unreadable !=
                       std::exchange(unreadable_, registry_->follower().counters().unreadable)) {
    spdlog::error("pool {}: a value in the registry is no box, which stays as it was: {}", name(),
                  registry_->follower().last_unreadable());
  }
  List list;
  list.version = ++list_number_;
  list.backends = update.changes;
  if (!update.changes.empty() || discovery_) {
    upstream_->withdraw(facade_.report_list(list, ListSource::kWatch, loop_.now()));
  }
  if (view_->held() > 0) {
    spdlog::warn("pool {}: {} boxes vanished at once and are held to be there until the source says so again",
                 name(), view_->held());
  }
  if (keeper_ && !update.changes.empty()) {
    changed_since_kept_ = true;
    keep_list();
  }
}

// Not for each change: the disk is slow, and a list some seconds old will do.
void Pool::keep_list() {
  if (keep_at_ != 0) return;
  keep_at_ = loop_.after(kKeepEvery, [this] {
    keep_at_ = 0;
    if (const auto trouble = keeper_->trouble())
      spdlog::error("pool {}: the list is not kept: {}", name(), *trouble);
    if (!std::exchange(changed_since_kept_, false)) return;
    if (keeper_->busy()) {
      changed_since_kept_ = true;
    } else {
      keeper_->keep(membership::kept_text(view_->members(), loop_.now()));
    }
    keep_list();
  });
}

// What the view holds or makes wait, and whether its source has gone quiet.
void Pool::tick_view() {
  view_tick_ = loop_.after(kViewEvery, [this] {
    tick_view();
    const Millis now = loop_.now();
    const bool stale = view_->last_heard() > 0 && view_->stale(now);
    if (stale != std::exchange(stale_, stale)) {
      stale ? spdlog::error("pool {}: nothing heard of its list for {:.0f} s, it goes on with the last one",
                            name(), (now - view_->last_heard()) / 1000)
            : spdlog::info("pool {}: its list is heard of again", name());
    }
    if (registry_) return;  // it has a clock of its own for the view
    const auto due = view_->next();
    if (!due || *due > now) return;
    const membership::Update update = view_->tick(now);
    if (!update.changes.empty()) tell(update);
    // A watch opened anew from nothing brings the whole list.
    if (update.ask_again && discovery_) discovery_->watch_anew();
  });
}

void Pool::request(RequestId request, const Ask& ask, std::shared_ptr<const Message> message) {
  open_[request].message = std::move(message);
  carry_out(facade_.pick(request, ask, loop_.now()));
}

void Pool::gone(RequestId request) {
  facade_.report_client_gone(request, loop_.now());
  close(request);
}

void Pool::carry_out(const Choice& choice) {
  const auto it = open_.find(choice.request);
  switch (choice.kind) {
    case Choice::Kind::kSend:
      // Of a body that comes by parts, what was given to one backend is not there for another.
      if (it == open_.end() || (it->second.message->flow && it->second.message->flow->touched())) {
        Result result;
        return attempt_done(choice.request, choice.attempt, result);
      }
      ++sent_;
      spdlog::debug("attempt {}.{} to {}", choice.request, choice.attempt, facade_.host(choice.backend));
      upstream_->send(choice.request, choice.attempt, choice.backend, facade_.dial(choice.backend),
                      choice.until, it->second.message);
      break;
    case Choice::Kind::kRefuse:
      spdlog::debug("refused {}", choice.request);
      host_.refuse(choice.request, choice.wait);
      close(choice.request);
      break;
    case Choice::Kind::kFail: {
      spdlog::debug("failed {}", choice.request);
      const bool late = it != open_.end() && it->second.last == Ending::kTimeout;
      host_.fail(choice.request, late ? 504 : 502);
      close(choice.request);
      break;
    }
    case Choice::Kind::kHold:
    case Choice::Kind::kPass:
    case Choice::Kind::kOver:
      break;
  }
}

// The request is over. Guards against an attempt that is written after the final answer, where the settings
// forbid to call it off: one that waits for a connection has not been sent yet.
void Pool::close(RequestId request) {
  open_.erase(request);
  upstream_->stop_unsent(request);
}

// Does what fell due, and sees to it that the next is not missed.
void Pool::settle() {
  settling_ = false;
  const Errands due = facade_.tick(loop_.now());
  upstream_->withdraw(due.unwanted);
  upstream_->close_unused(due.crowded);
  for (const Choice& choice : due.choices) carry_out(choice);
  for (const auto& [request, attempt] : due.call_off) upstream_->call_off(request, attempt);
  for (const BackendId backend : due.probes) probe(backend);
  if (due.watch && discovery_) discovery_->watch();
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
    // Its boxes are probed by whoever has them now. Not from within settle(), which the answer would call.
    loop_.later(
        [this, backend] { facade_.report_probe(backend, Ending::kNotSent, 0, nullptr, loop_.now()); });
    return;
  }
  ++probes_;
  upstream_->probe(backend, facade_.dial(backend));
}

void Pool::attempt_done(RequestId request, int attempt, const Result& result) {
  ++attempt_endings_[result.ending];
  spdlog::debug("attempt {}.{} {} {:.1f} ms", request, attempt, name_of(result.ending), result.elapsed);
  const auto it = open_.find(request);
  if (it != open_.end()) it->second.last = result.ending;
  const Choice choice = facade_.report(request, attempt, result.ending, result.elapsed,
                                       result.load ? &*result.load : nullptr, loop_.now());
  if (choice.kind == Choice::Kind::kPass) {
    host_.serve(request, *result.answer, result.flow);
    close(request);
    return;
  }
  carry_out(choice);
}

void Pool::list_changed(const List& list) {
  watch_waits_.told();
  std::size_t ready = 0;
  std::size_t draining = 0;
  for (const ListedBackend& backend : list.backends) {
    ready += backend.health == "ready";
    draining += backend.health == "draining";
  }
  spdlog::info("pool {}: list {}: {}, {} ready, {} draining, {} gone", name(), list.version,
               list.whole ? "whole" : "changes", ready, draining, list.backends.size() - ready - draining);
  if (view_ && discovery_) return tell(through_view(list));
  upstream_->withdraw(facade_.report_list(list, ListSource::kWatch, loop_.now()));
}

void Pool::watch_ended(Ending ending) {
  ++watch_endings_[ending];
  spdlog::warn("pool {}: watch on the list ended: {}", name(), name_of(ending));
  const double random = std::uniform_real_distribution<double>(0, 1)(jitter_);
  const auto wait =
      watch_waits_.ended(ending, config_.settings.list_on_request, config_.settings.instances, random);
  if (!wait) return facade_.report_watch_ended(loop_.now());
  rewatch_ = loop_.after(*wait, [this] {
    rewatch_ = 0;
    discovery_->watch();
  });
}

void Pool::log_counters(const std::string& before) const {
  const Millis now = loop_.now();
  const Millis told = discovery_ ? discovery_->last_told() : now;
  spdlog::info("counters: {}sent={} attempts {}", before, sent_, listed(attempt_endings_, named));
  spdlog::info("counters: {}probes={} {}", before, probes_, listed(probe_endings_, named));
  spdlog::info("counters: {}list version={} age_s={:.1f} watches={} {}", before,
               discovery_ ? discovery_->version() : 0, told > 0 ? (now - told) / 1000 : -1.0,
               discovery_ ? discovery_->opened() : 0, listed(watch_endings_, named));
  spdlog::info("counters: {}boxes={} ready={} backends={} idle={} made={} reused={} open_requests={}", before,
               facade_.backends(), facade_.ready(), upstream_->connections(), upstream_->idle(),
               upstream_->opened(), upstream_->reused(), facade_.open_requests());
  if (view_) {
    const auto& v = view_->counters();
    spdlog::info(
        "counters: {}view boxes={} ready={} held={} stale={} heard_age_s={:.1f} snapshots={} changes={} "
        "older={} "
        "behind={} holds={} believed={} restored={} kept_out={} flaps={} moved={}",
        before, view_->size(), view_->ready(), view_->held(), view_->stale(now) ? 1 : 0,
        view_->last_heard() > 0 ? (now - view_->last_heard()) / 1000 : -1.0, v.snapshots, v.changes, v.older,
        v.behind, v.held, v.believed, v.restored, v.kept_out, v.flaps, v.moved);
  }
  if (registry_) {
    const auto& r = registry_->follower().counters();
    spdlog::info(
        "counters: {}registry revision={} ranges={} watches={} resumed={} compacted={} behind={} epochs={} "
        "deaf={} unreadable={} failures={}",
        before, view_->revision(0), r.ranges, r.watches, r.resumed, r.compacted, r.behind, r.epochs, r.deaf,
        r.unreadable, r.failures);
  }
  if (const auto subset = facade_.subset_counters()) {
    spdlog::info("counters: {}subset fleet={} members={} lots={} borrowed={} drawings={} changes={}", before,
                 subset->fleet, subset->members, subset->lots, subset->borrowed, subset->drawings,
                 subset->changes);
  }
}

}  // namespace shorelead::node
