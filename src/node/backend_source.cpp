#include "node/backend_source.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "node/counts_text.h"

namespace shorelead::node {
namespace {

constexpr Millis kViewEvery = 250;

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
            [this](const membership::Update& update) { tell(update); },
            [this] {
              spdlog::info("pool {}: the registry's list is there, {} boxes", config_.name, view_->size());
            },
            [this](const std::string& what) { spdlog::warn("pool {}: registry: {}", config_.name, what); }});
    return;
  }
  if (!config.discovery) return;
  lease_ = std::make_unique<DiscoveryLease>(
      loop_, config.name, [this](const ListValidity& validity) { listener_.validity(validity); });
  discovery_ = std::make_unique<Discovery>(
      loop_, *config.discovery, config.known.version,
      Discovery::Listener{[this](const List& list) { list_changed(list); },
                          [this](Ending ending) { watch_ended(ending); },
                          [this](bool first) { lease_->current(first); }, [this] { lease_->unfinished(); },
                          [this] { lease_->asked(); }});
}

BackendSource::~BackendSource() {
  loop_.cancel(rewatch_);
  loop_.cancel(view_tick_);
}

// Where a view decides what is believed of the list it never expires.
void BackendSource::take_terms() {
  if (lease_ && !view_) lease_->adopt(config_.settings);
}

void BackendSource::adopt(const Settings& settings) {
  config_.settings = settings;
  take_terms();
}

void BackendSource::start() {
  take_terms();
  // A list of which the module was told nothing may be old by any time; whatever is wrong with it the source
  // will tell, and until then attempts and probes do.
  if (const auto kept = saved_list_copy_ ? saved_list_copy_->load() : std::nullopt)
    hand_on(*kept, ListSource::kStored);
  if (view_) tick_view();
  if (registry_) return registry_->start();
  if (!discovery_) return take_backends();
  if (!config_.settings.list_on_request) discovery_->watch();
}

void BackendSource::hand_on(const List& list, ListSource from) {
  listener_.list(start_times_.resolve(list), from);
}

void BackendSource::watch() {
  if (discovery_) discovery_->watch();
}

void BackendSource::follow(const PoolConfig& config) {
  const bool backends = config.known.backends != config_.known.backends;
  const std::optional<Poco::Net::SocketAddress> before = config_.discovery;
  config_ = config;
  if (registry_) return;
  if (!discovery_) {
    if (backends) take_backends();
    return;
  }
  const bool waited = rewatch_ != 0;
  loop_.cancel(rewatch_);
  watch_backoff_.reset();
  take_terms();
  if (config.discovery != before) lease_->moved();
  discovery_->move(*config.discovery);
  if (waited || !config_.settings.list_on_request) discovery_->watch();
}

// The list that stands in the configuration is all that there is to know.
void BackendSource::take_backends() {
  List list = config_.known;
  list.whole = true;
  list_changed(list);
}

bool BackendSource::told() const {
  if (registry_) return registry_->synced();
  return !discovery_ || discovery_->listed();
}

// Discovery's lists as the view has them. A whole list with a number below the last is of a discovery that
// has lost its memory.
membership::Update BackendSource::through_view(const List& list) {
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
void BackendSource::tell(const membership::Update& update) {
  if (registry_ && registry_->follower().counters().unreadable !=
                       std::exchange(unreadable_, registry_->follower().counters().unreadable)) {
    spdlog::error("pool {}: a value in the registry is no box, which stays as it was: {}", config_.name,
                  registry_->follower().last_unreadable());
  }
  List list;
  list.version = ++list_number_;
  list.backends = update.changes;
  if (!update.changes.empty() || discovery_) {
    hand_on(list, ListSource::kWatch);
  }
  if (view_->held() > 0) {
    spdlog::warn("pool {}: {} boxes vanished at once and are held to be there until the source says so again",
                 config_.name, view_->held());
  }
  if (saved_list_copy_ && !update.changes.empty()) saved_list_copy_->changed();
}

// What the view holds or makes wait, and whether its source has gone quiet.
void BackendSource::tick_view() {
  view_tick_ = loop_.after(kViewEvery, [this] {
    tick_view();
    const Millis now = loop_.now();
    const bool stale = view_->last_heard() > 0 && view_->stale(now);
    if (stale != std::exchange(stale_, stale)) {
      stale ? spdlog::error("pool {}: nothing heard of its list for {:.0f} s, it goes on with the last one",
                            config_.name, (now - view_->last_heard()) / 1000)
            : spdlog::info("pool {}: its list is heard of again", config_.name);
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

void BackendSource::list_changed(const List& list) {
  watch_backoff_.told();
  std::size_t ready = 0;
  std::size_t draining = 0;
  for (const ListedBackend& backend : list.backends) {
    ready += backend.health == "ready";
    draining += backend.health == "draining";
  }
  spdlog::info("pool {}: list {}: {}, {} ready, {} draining, {} gone", config_.name, list.version,
               list.whole ? "whole" : "changes", ready, draining, list.backends.size() - ready - draining);
  if (view_ && discovery_) return tell(through_view(list));
  hand_on(list, ListSource::kWatch);
}

void BackendSource::watch_ended(Ending ending) {
  ++watch_endings_[ending];
  const Discovery::CallEnd& end = discovery_->last_end();
  lease_->ended(ending, end);
  spdlog::warn(
      "pool {}: watch on the list ended: {}, begun {:.2f} s and silent {:.2f} s before, {} bytes unfinished",
      config_.name, name_of(ending), end.after / 1000, end.silent / 1000, end.unfinished);
  // A connection that ends before a byte of an answer is what an agent shows that is down, and so is silence.
  const bool in_words =
      ending == Ending::kRejected || ending == Ending::kErred || ending == Ending::kMalformed;
  unreached_ = !in_words;
  const double random = std::uniform_real_distribution<double>(0, 1)(jitter_);
  const auto wait =
      watch_backoff_.ended(ending, config_.settings.list_on_request, config_.settings.instances, random);
  if (!wait) return listener_.watch_ended();
  loop_.cancel(rewatch_);  // one that the module's own call has overtaken
  rewatch_ = loop_.after(*wait, [this] {
    rewatch_ = 0;
    discovery_->watch();
  });
}

void BackendSource::log_counters(const std::string& before) const {
  const Millis now = loop_.now();
  const Millis told = discovery_ ? discovery_->last_told() : now;
  spdlog::info("counters: {}list version={} age_s={:.1f} watches={} {}", before,
               discovery_ ? discovery_->version() : 0, told > 0 ? (now - told) / 1000 : -1.0,
               discovery_ ? discovery_->opened() : 0,
               listed(watch_endings_, [](Ending e) { return std::string(name_of(e)); }));
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
}

}  // namespace shorelead::node
