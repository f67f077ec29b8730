#include "node/backend_source.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "node/counts_text.h"

namespace shorelead::node {
namespace {

constexpr Millis kViewInterval = 250;

}  // namespace

BackendSource::BackendSource(Loop& loop, const PoolConfig& config, std::uint64_t seed, Listener listener)
    : loop_(loop),
      config_(config),
      listener_(std::move(listener)),
      start_times_([this](Millis label) { return loop_.from_wall(label); }),
      jitter_(seed) {
  if (config.view) view_ = std::make_unique<membership::View>(*config.view);
  if (view_ && !config.keep.empty())
    saved_list_copy_ = std::make_unique<SavedListCopy>(loop, config.keep, config.name, *view_);
  if (config.registry) {
    registry_ = std::make_unique<membership::registry::Client>(
        loop_, *config.registry, *view_, 0, seed,
        membership::registry::Client::Listener{
            [this](const membership::Update& update) { report_changes(update); },
            [this] {
              spdlog::info("pool {}: the registry's list was received, {} backends", config_.name,
                           view_->size());
            },
            [this](const std::string& what) { spdlog::warn("pool {}: registry: {}", config_.name, what); }});
    return;
  }
  if (!config.discovery) return;
  lease_ = std::make_unique<DiscoveryLease>(
      loop_, config.name, *config.discovery,
      [this](const ListValidity& validity) { listener_.validity(validity); },
      [this] { report_sign(guard::DiscoverySign::Kind::kRefused, loop_.now()); });
  discovery_ = std::make_unique<Discovery>(
      loop_, *config.discovery, config.known.version,
      Discovery::Listener{[this](const List& list) { list_changed(list); },
                          [this](Ending ending) { watch_ended(ending); },
                          [this](bool first, bool late) {
                            if (first) log_answer(late);
                            lease_->current(first, late, discovery_->last_byte_at());
                            report_sign(guard::DiscoverySign::Kind::kMessage, discovery_->last_byte_at());
                          },
                          [this] { lease_->incomplete(); }, [this] { lease_->call_begun(); }});
}

BackendSource::~BackendSource() {
  loop_.cancel(rewatch_timer_);
  loop_.cancel(view_timer_);
}

// With a view, which decides itself what to believe, the list never expires.
void BackendSource::update_lease_terms() {
  if (lease_ && !view_) lease_->adopt(config_.settings);
}

void BackendSource::report_sign(guard::DiscoverySign::Kind kind, Millis at) const {
  if (expires()) listener_.discovery({kind, at, *config_.settings.drain_grace});
}

void BackendSource::adopt(const Settings& settings) {
  config_.settings = settings;
  update_lease_terms();
}

void BackendSource::start() {
  update_lease_terms();
  log_list_settings();
  // The saved list may be of any age. The source will correct it; until then failed attempts and probes do.
  if (const auto saved = saved_list_copy_ ? saved_list_copy_->load() : std::nullopt)
    forward(*saved, ListSource::kStored);
  if (view_) tick_view();
  if (registry_) return registry_->start();
  if (!discovery_) return apply_configured_list();
  if (!config_.settings.list_on_request) discovery_->watch();
}

void BackendSource::log_list_settings() const {
  if (!discovery_) return;
  const Settings& settings = config_.settings;
  spdlog::info("pool {}: lists are {}, interval {:.1f} s, grace {:.0f} ms, {} nodes", config_.name,
               settings.list_on_request ? "requested" : "pushed", settings.ask_every / 1000,
               settings.drain_grace.value_or(0), settings.instances);
}

void BackendSource::log_answer(bool late) const {
  spdlog::info("pool {}: call {} answered {:.2f} s after it began, version {}{}", config_.name,
               discovery_->calls(), (loop_.now() - discovery_->call_began_at()) / 1000, discovery_->version(),
               late ? ", arrived late" : "");
}

void BackendSource::forward(const List& list, ListSource from) {
  listener_.list(start_times_.resolve(list), from);
}

void BackendSource::watch() {
  if (discovery_) discovery_->watch();
}

void BackendSource::follow(const PoolConfig& config) {
  const bool backends_changed = config.known.backends != config_.known.backends;
  const std::optional<Poco::Net::SocketAddress> before = config_.discovery;
  config_ = config;
  if (registry_) return;
  if (!discovery_) {
    if (backends_changed) apply_configured_list();
    return;
  }
  const bool reconnecting = rewatch_timer_ != 0;
  loop_.cancel(rewatch_timer_);
  watch_backoff_.reset();
  update_lease_terms();
  if (config.discovery != before) lease_->address_changed(*config.discovery, config.requested_at);
  discovery_->change_address(*config.discovery);
  if (reconnecting || !config_.settings.list_on_request) discovery_->watch();
}

// The list in the configuration is complete by itself.
void BackendSource::apply_configured_list() {
  List list = config_.known;
  list.whole = true;
  list_changed(list);
}

bool BackendSource::has_current_list() const {
  if (registry_) return registry_->synced();
  return !discovery_ || discovery_->has_list();
}

// Passes on the changes that the view has accepted.
void BackendSource::report_changes(const membership::Update& update) {
  if (registry_ && registry_->follower().counters().unreadable !=
                       std::exchange(logged_unreadable_, registry_->follower().counters().unreadable)) {
    spdlog::error("pool {}: a backend's value in the registry is invalid, the backend stays as it was: {}",
                  config_.name, registry_->follower().last_unreadable());
  }
  List list;
  list.version = ++last_list_number_;
  list.backends = update.changes;
  if (!update.changes.empty() || discovery_) {
    forward(list, ListSource::kWatch);
  }
  if (view_->held() > 0) {
    spdlog::warn("pool {}: {} backends vanished at once and are kept until the source confirms it",
                 config_.name, view_->held());
  }
  if (saved_list_copy_ && !update.changes.empty()) saved_list_copy_->changed();
}

// Runs what is due in the view, and logs when its source has become stale or is heard of again.
void BackendSource::tick_view() {
  view_timer_ = loop_.after(kViewInterval, [this] {
    tick_view();
    const Millis now = loop_.now();
    const bool stale = view_->last_heard() > 0 && view_->stale(now);
    if (stale != std::exchange(stale_, stale)) {
      stale ? spdlog::error("pool {}: nothing heard from the list's source for {:.0f} s, using the last list",
                            config_.name, (now - view_->last_heard()) / 1000)
            : spdlog::info("pool {}: the list's source is heard from again", config_.name);
    }
    if (registry_) return;  // the registry client runs the view's timer
    const auto due = view_->next();
    if (!due || *due > now) return;
    const membership::Update update = view_->tick(now);
    if (!update.changes.empty()) report_changes(update);
    // A watch from version 0 brings the whole list.
    if (update.refetch && discovery_) discovery_->watch_from_start();
  });
}

void BackendSource::list_changed(const List& list) {
  watch_backoff_.list_received();
  std::size_t ready = 0;
  std::size_t draining = 0;
  for (const ListedBackend& backend : list.backends) {
    ready += backend.health == "ready";
    draining += backend.health == "draining";
  }
  spdlog::info("pool {}: list {}: {}, {} ready, {} draining, {} gone", config_.name, list.version,
               list.whole ? "whole" : "changes", ready, draining, list.backends.size() - ready - draining);
  if (view_ && discovery_) return report_changes(view_lists_.apply(*view_, list, loop_.now()));
  forward(list, ListSource::kWatch);
}

void BackendSource::watch_ended(Ending ending) {
  ++watch_endings_[ending];
  const Discovery::CallEnd& end = discovery_->last_end();
  if (end.answered && ending == Ending::kBroken)
    report_sign(guard::DiscoverySign::Kind::kWatchReset, loop_.now());
  lease_->ended(ending, end);
  spdlog::warn(
      "pool {}: watch on the list ended: {}, begun {:.2f} s and silent {:.2f} s before, {} bytes unfinished; "
      "call {} from version {}, {}, {} bytes received",
      config_.name, name_of(ending), end.duration / 1000, end.silence / 1000, end.incomplete_bytes,
      discovery_->calls(), end.from_version, end.answered ? "answered" : "not answered", end.received_bytes);
  // An agent that is down shows as a connection that ends before any byte of a response, or as silence.
  const bool answered =
      ending == Ending::kRejected || ending == Ending::kErred || ending == Ending::kMalformed;
  unreached_ = !answered;
  const double random = std::uniform_real_distribution<double>(0, 1)(jitter_);
  const auto wait = watch_backoff_.delay_after(ending, config_.settings.list_on_request,
                                               config_.settings.instances, random);
  if (!wait) return listener_.watch_ended();
  loop_.cancel(rewatch_timer_);  // a pending reconnect, overtaken by a call of the policy's
  rewatch_timer_ = loop_.after(*wait, [this] {
    rewatch_timer_ = 0;
    discovery_->watch();
  });
}

void BackendSource::log_counters(const std::string& prefix) const {
  const Millis now = loop_.now();
  const Millis received_at = discovery_ ? discovery_->last_received() : now;
  spdlog::info("counters: {}list version={} age_s={:.1f} watches={} {}", prefix,
               discovery_ ? discovery_->version() : 0, received_at > 0 ? (now - received_at) / 1000 : -1.0,
               discovery_ ? discovery_->calls() : 0,
               listed(watch_endings_, [](Ending e) { return std::string(name_of(e)); }));
  if (lease_) {
    spdlog::info("counters: {}list expirations={} expired_s={:.1f}", prefix, lease_->expirations(),
                 lease_->time_expired() / 1000);
  }
  if (view_) {
    const auto& v = view_->counters();
    spdlog::info(
        "counters: {}view boxes={} ready={} held={} stale={} heard_age_s={:.1f} snapshots={} changes={} "
        "older={} "
        "behind={} holds={} believed={} restored={} kept_out={} flaps={} moved={}",
        prefix, view_->size(), view_->ready(), view_->held(), view_->stale(now) ? 1 : 0,
        view_->last_heard() > 0 ? (now - view_->last_heard()) / 1000 : -1.0, v.snapshots, v.changes, v.older,
        v.behind, v.held, v.believed, v.restored, v.kept_out, v.flaps, v.moved);
  }
  if (registry_) {
    const auto& r = registry_->follower().counters();
    spdlog::info(
        "counters: {}registry revision={} ranges={} watches={} resumed={} compacted={} behind={} epochs={} "
        "deaf={} unreadable={} failures={}",
        prefix, view_->revision(0), r.ranges, r.watches, r.resumed, r.compacted, r.behind, r.epochs, r.deaf,
        r.unreadable, r.failures);
  }
}

}  // namespace shorelead::node
