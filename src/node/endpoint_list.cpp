#include "node/endpoint_list.h"

#include <algorithm>
#include <utility>

#include "node/outcome.h"

namespace shorelead::node {
namespace {

// Attempts and probes in a row without an answer after which a member's capacity is not counted.
constexpr int kMaxUnanswered = 3;

}  // namespace

EndpointList::EndpointList(const HostSettings& host, const FleetOptions& fleet) : zones_(host.zones) {
  if (!fleet.subset) return;
  subset_.emplace(
      *fleet.subset, fleet.place,
      SubsetSelection::EndpointLookup{
          [this](const std::string& zone) { return zone_number(zone); },
          [this](const ListedBackend& one) { return state_with_bans(one) == BackendState::kReady; },
          [this](const std::string& name) { return numbers_.count(name) > 0; }});
}

std::optional<EndpointList::Changes> EndpointList::take(const List& list, ListKind kind, Millis now) {
  recycle_numbers();
  if (!subset_) return make_changes(list.backends, kind);
  const std::vector<ListedBackend> entries = subset_->take(list.backends, kind != ListKind::kDelta);
  if (kind != ListKind::kStored) return make_changes(entries, ListKind::kDelta);
  const auto drawn = subset_->draw(now);
  return make_changes(drawn.value_or(std::vector<ListedBackend>()), kind);
}

EndpointList::Changes EndpointList::make_changes(const std::vector<ListedBackend>& entries, ListKind kind) {
  Changes result;
  ListUpdate& update = result.update;
  update.kind = kind;
  update.sharing = subset_ ? subset_->holders() : 0;
  std::vector<char> named(kind == ListKind::kDelta ? 0 : backends_.size(), 0);
  for (const ListedBackend& listed : entries) {
    const std::optional<BackendId> number = number_of(listed);
    if (!number) continue;
    BackendEntry entry;
    entry.backend = *number;
    entry.state = state_with_bans(listed);
    entry.zone = zone_number(listed.site);
    entry.tag = static_cast<std::uint32_t>(subset::hash_of(listed.host));
    entry.cell = listed.cell;
    entry.started = bans_.started(listed.host, listed.started);
    entry.size = listed.size;
    if (*number < named.size()) named[*number] = 1;
    Endpoint& endpoint = backends_[entry.backend];
    if (endpoint.ready && listed.started > 0 && listed.started != endpoint.listed.started)
      restarted_.push_back({*number, listed.started});
    if (!listed.dial.empty()) endpoint.dial = listed.dial;
    if (&endpoint.listed != &listed) endpoint.listed = listed;
    const bool was_ready = set_ready(endpoint, entry.state == BackendState::kReady);
    if (was_ready && !endpoint.ready) result.unwanted.push_back(*number);
    if (!was_ready && endpoint.ready) endpoint.unanswered = 0;  // earlier silence says nothing about it now
    endpoint.gone = false;
    if (state_of(listed.health) == BackendState::kGone) mark_gone(*number);
    update.entries.push_back(entry);
  }
  for (BackendId number = 0; number < named.size(); ++number) {
    Endpoint& endpoint = backends_[number];
    if (named[number] || endpoint.host.empty() || endpoint.gone) continue;
    if (set_ready(endpoint, false)) result.unwanted.push_back(number);
    mark_gone(number);
  }
  ++changes_;
  return result;
}

// To the policy a banned backend is draining: it gets no new requests and no probes, and its statistics start
// anew when the ban ends.
BackendState EndpointList::state_with_bans(const ListedBackend& listed) const {
  const BackendState state = state_of(listed.health);
  return state == BackendState::kReady && bans_.out(listed.host) ? BackendState::kDraining : state;
}

std::optional<EndpointList::Changes> EndpointList::take(const manage::BanSet& bans) {
  const manage::BanSet before = std::exchange(bans_, bans);
  const auto changed = [&](const ListedBackend& listed) {
    return before.out(listed.host) != bans.out(listed.host) ||
           before.started(listed.host, listed.started) != bans.started(listed.host, listed.started);
  };
  std::vector<ListedBackend> entries;
  for (const Endpoint& endpoint : backends_) {
    if (!endpoint.host.empty() && !endpoint.gone && changed(endpoint.listed))
      entries.push_back(endpoint.listed);
  }
  if (subset_) {
    for (const auto& [host, listed] : subset_->fleet()) {
      if (changed(listed)) subset_->changed(listed);
    }
  }
  if (entries.empty()) return std::nullopt;
  return make_changes(entries, ListKind::kDelta);
}

std::vector<ListedBackend> EndpointList::all() const {
  std::vector<ListedBackend> all;
  if (subset_) {
    for (const auto& [host, listed] : subset_->fleet()) all.push_back(listed);
    return all;
  }
  for (const Endpoint& endpoint : backends_) {
    if (endpoint.host.empty() || endpoint.gone) continue;
    all.push_back(endpoint.listed);
    all.back().dial = endpoint.dial;
  }
  return all;
}

std::string EndpointList::text() const { return list_text(all()); }

bool EndpointList::lists(const std::string& host) const {
  if (subset_) return subset_->fleet().count(host) > 0;
  const auto it = numbers_.find(host);
  return it != numbers_.end() && !backends_[it->second].gone;
}

std::size_t EndpointList::listed() const {
  if (subset_) return subset_->fleet().size();
  return static_cast<std::size_t>(std::count_if(
      backends_.begin(), backends_.end(), [](const Endpoint& k) { return !k.host.empty() && !k.gone; }));
}

std::size_t EndpointList::out() const {
  if (!subset_) return listed() - ready_;
  std::size_t count = 0;
  for (const auto& [host, listed] : subset_->fleet())
    count += state_with_bans(listed) != BackendState::kReady;
  return count;
}

std::optional<UnitState> EndpointList::find_unit(Unit::Kind kind, const std::string& name) {
  if (kind != Unit::Kind::kBackend) {
    if (std::exchange(units_version_, changes_) != changes_) {
      units_.clear();
      for (const Endpoint& endpoint : backends_) {
        if (endpoint.host.empty() || endpoint.gone) continue;
        units_.put(endpoint.listed.site, zone_number(endpoint.listed.site), endpoint.listed.cell,
                   endpoint.ready);
      }
    }
    const UnitState* const seen = units_.find(kind, name);
    return seen == nullptr ? std::nullopt : std::optional(*seen);
  }
  const auto it = numbers_.find(name);
  if (it == numbers_.end()) return std::nullopt;
  const Endpoint& endpoint = backends_[it->second];
  using affinity::UnitStatus;
  return UnitState{{kind, it->second},
                   endpoint.gone    ? UnitStatus::kGone
                   : endpoint.ready ? UnitStatus::kReady
                                    : UnitStatus::kDraining};
}

// Returns whether it was ready before.
bool EndpointList::set_ready(Endpoint& endpoint, bool ready) {
  const bool was_ready = std::exchange(endpoint.ready, ready);
  if (ready != was_ready) ready ? ++ready_ : --ready_;
  return was_ready;
}

void EndpointList::mark_gone(BackendId number) {
  Endpoint& endpoint = backends_[number];
  endpoint.gone = true;
  if (!std::exchange(endpoint.awaiting_recycling, true)) to_recycle_.push_back(number);
}

std::optional<EndpointList::Changes> EndpointList::draw(Millis now) {
  const auto drawn = subset_->draw(now);
  if (!drawn) return std::nullopt;
  recycle_numbers();
  return make_changes(*drawn, ListKind::kDelta);
}

// Records whether a member answers, for the subset's count of its capacity. Any answer counts.
void EndpointList::heard(BackendId backend, Outcome outcome) {
  if (!subset_ || outcome == Outcome::kCancelled || outcome == Outcome::kNotSent) return;
  Endpoint& endpoint = backends_[backend];
  const bool silent = outcome == Outcome::kNoAnswer || outcome == Outcome::kNoConnection;
  const int before = std::exchange(endpoint.unanswered, silent ? endpoint.unanswered + 1 : 0);
  if (silent ? endpoint.unanswered != kMaxUnanswered : before < kMaxUnanswered) return;
  subset_->set_answering(endpoint.host, !silent);
}

// The number by which the policy knows this backend; nothing for one that is gone and was never known.
std::optional<BackendId> EndpointList::number_of(const ListedBackend& listed) {
  const auto it = numbers_.find(listed.host);
  if (it != numbers_.end()) return it->second;
  if (state_of(listed.health) == BackendState::kGone) return std::nullopt;
  if (free_numbers_.empty()) {
    free_numbers_.push_back(static_cast<BackendId>(backends_.size()));
    backends_.emplace_back();
  }
  const BackendId number = free_numbers_.back();
  free_numbers_.pop_back();
  backends_[number].host = listed.host;
  return numbers_[listed.host] = number;
}

// Recycles the numbers of gone backends that nothing refers to any more; otherwise the table would grow with
// every replaced backend. Done with the next list, when connections that are kept by number have been closed.
void EndpointList::recycle_numbers() {
  std::erase_if(to_recycle_, [this](BackendId number) {
    Endpoint& endpoint = backends_[number];
    if (endpoint.gone && endpoint.uses > 0) return false;
    endpoint.awaiting_recycling = false;
    if (!endpoint.gone) return true;  // it is back
    numbers_.erase(endpoint.host);
    endpoint = Endpoint{};
    free_numbers_.push_back(number);
    return true;
  });
}

int EndpointList::zone_number(const std::string& name) {
  const auto it = std::find(zones_.begin(), zones_.end(), name);
  if (it != zones_.end()) return static_cast<int>(it - zones_.begin());
  zones_.push_back(name);
  return static_cast<int>(zones_.size()) - 1;
}

}  // namespace shorelead::node
