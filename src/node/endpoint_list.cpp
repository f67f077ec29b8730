#include "node/endpoint_list.h"

#include <algorithm>
#include <utility>

#include "node/outcome.h"

namespace shorelead::node {
namespace {

// Attempts and probes in a row without a word, after which a member counts as no capacity.
constexpr int kSilences = 3;

}  // namespace

EndpointList::EndpointList(const HostSettings& host, const FleetOptions& fleet) : zones_(host.zones) {
  if (!fleet.subset) return;
  part_.emplace(*fleet.subset, fleet.place,
                SubsetSelection::EndpointLookup{
                    [this](const std::string& zone) { return zone_number(zone); },
                    [this](const ListedBackend& one) { return state_with_bans(one) == BackendState::kReady; },
                    [this](const std::string& name) { return numbers_.count(name) > 0; }});
}

std::optional<EndpointList::Told> EndpointList::take(const List& list, ListKind kind, Millis now) {
  give_back_numbers();
  if (!part_) return told(list.backends, kind);
  const std::vector<ListedBackend> entries = part_->take(list.backends, kind != ListKind::kDelta);
  if (kind != ListKind::kStored) return told(entries, ListKind::kDelta);
  const auto drawn = part_->draw(now);
  return told(drawn.value_or(std::vector<ListedBackend>()), kind);
}

EndpointList::Told EndpointList::told(const std::vector<ListedBackend>& entries, ListKind kind) {
  Told told;
  ListUpdate& update = told.update;
  update.kind = kind;
  update.sharing = part_ ? part_->holders() : 0;
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
    entry.started = bans_.started(listed.host, listed.born);
    entry.size = listed.size;
    if (*number < named.size()) named[*number] = 1;
    Known& known = backends_[entry.backend];
    if (known.ready && listed.born > 0 && listed.born != known.listed.born)
      restarted_.push_back({*number, listed.born});
    if (!listed.dial.empty()) known.dial = listed.dial;
    if (&known.listed != &listed) known.listed = listed;
    const bool was = set_ready(known, entry.state == BackendState::kReady);
    if (was && !known.ready) told.unwanted.push_back(*number);
    if (!was && known.ready) known.silences = 0;  // what was heard of it before says nothing now
    known.gone = false;
    if (state_of(listed.health) == BackendState::kGone) leave(*number);
    update.entries.push_back(entry);
  }
  for (BackendId number = 0; number < named.size(); ++number) {
    Known& known = backends_[number];
    if (named[number] || known.host.empty() || known.gone) continue;
    if (set_ready(known, false)) told.unwanted.push_back(number);
    leave(number);
  }
  ++changes_;
  return told;
}

// What is out by hand is to the module as one that drains: nothing new, no probes, and fresh beliefs once it
// is back.
BackendState EndpointList::state_with_bans(const ListedBackend& listed) const {
  const BackendState state = state_of(listed.health);
  return state == BackendState::kReady && bans_.out(listed.host) ? BackendState::kDraining : state;
}

std::optional<EndpointList::Told> EndpointList::take(const manage::BanSet& bans) {
  const manage::BanSet before = std::exchange(bans_, bans);
  const auto changed = [&](const ListedBackend& listed) {
    return before.out(listed.host) != bans.out(listed.host) ||
           before.started(listed.host, listed.born) != bans.started(listed.host, listed.born);
  };
  std::vector<ListedBackend> entries;
  for (const Known& known : backends_) {
    if (!known.host.empty() && !known.gone && changed(known.listed)) entries.push_back(known.listed);
  }
  if (part_) {
    for (const auto& [host, listed] : part_->fleet()) {
      if (changed(listed)) part_->changed(listed);
    }
  }
  if (entries.empty()) return std::nullopt;
  return told(entries, ListKind::kDelta);
}

std::vector<ListedBackend> EndpointList::all() const {
  std::vector<ListedBackend> all;
  if (part_) {
    for (const auto& [host, listed] : part_->fleet()) all.push_back(listed);
    return all;
  }
  for (const Known& known : backends_) {
    if (known.host.empty() || known.gone) continue;
    all.push_back(known.listed);
    all.back().dial = known.dial;
  }
  return all;
}

std::string EndpointList::text() const { return list_text(all()); }

bool EndpointList::lists(const std::string& host) const {
  if (part_) return part_->fleet().count(host) > 0;
  const auto it = numbers_.find(host);
  return it != numbers_.end() && !backends_[it->second].gone;
}

std::size_t EndpointList::listed() const {
  if (part_) return part_->fleet().size();
  return static_cast<std::size_t>(std::count_if(backends_.begin(), backends_.end(),
                                                [](const Known& k) { return !k.host.empty() && !k.gone; }));
}

std::size_t EndpointList::out() const {
  if (!part_) return listed() - ready_;
  std::size_t count = 0;
  for (const auto& [host, listed] : part_->fleet()) count += state_with_bans(listed) != BackendState::kReady;
  return count;
}

std::optional<UnitState> EndpointList::find_unit(Unit::Kind kind, const std::string& name) {
  if (kind != Unit::Kind::kBackend) {
    if (std::exchange(units_of_, changes_) != changes_) {
      units_.clear();
      for (const Known& known : backends_) {
        if (known.host.empty() || known.gone) continue;
        units_.put(known.listed.site, zone_number(known.listed.site), known.listed.cell, known.ready);
      }
    }
    const UnitState* const seen = units_.find(kind, name);
    return seen == nullptr ? std::nullopt : std::optional(*seen);
  }
  const auto it = numbers_.find(name);
  if (it == numbers_.end()) return std::nullopt;
  const Known& known = backends_[it->second];
  using affinity::Standing;
  return UnitState{{kind, it->second},
                   known.gone    ? Standing::kGone
                   : known.ready ? Standing::kReady
                                 : Standing::kDraining};
}

// Says whether it was ready before.
bool EndpointList::set_ready(Known& known, bool ready) {
  const bool was = std::exchange(known.ready, ready);
  if (ready != was) ready ? ++ready_ : --ready_;
  return was;
}

void EndpointList::leave(BackendId number) {
  Known& known = backends_[number];
  known.gone = true;
  if (!std::exchange(known.leaving, true)) leaving_.push_back(number);
}

std::optional<EndpointList::Told> EndpointList::draw(Millis now) {
  const auto drawn = part_->draw(now);
  if (!drawn) return std::nullopt;
  give_back_numbers();
  return told(*drawn, ListKind::kDelta);
}

// Whether a member answers, for the subset's count of its capacity. Any word from it will do.
void EndpointList::heard(BackendId backend, Outcome outcome) {
  if (!part_ || outcome == Outcome::kCancelled || outcome == Outcome::kNotSent) return;
  Known& known = backends_[backend];
  const bool silent = outcome == Outcome::kNoAnswer || outcome == Outcome::kNoConnection;
  const int before = std::exchange(known.silences, silent ? known.silences + 1 : 0);
  if (silent ? known.silences != kSilences : before < kSilences) return;
  part_->heard(known.host, !silent);
}

// The number by which the module knows this backend; none for one that is gone and was never known.
std::optional<BackendId> EndpointList::number_of(const ListedBackend& listed) {
  const auto it = numbers_.find(listed.host);
  if (it != numbers_.end()) return it->second;
  if (state_of(listed.health) == BackendState::kGone) return std::nullopt;
  if (free_.empty()) {
    free_.push_back(static_cast<BackendId>(backends_.size()));
    backends_.emplace_back();
  }
  const BackendId number = free_.back();
  free_.pop_back();
  backends_[number].host = listed.host;
  return numbers_[listed.host] = number;
}

// Guards against growing with every backend that ever was: where each replaced one comes back under a new id,
// the numbers of those that are gone go to others, once no request and no probe is left that names them. Only
// with the next list, so that whoever keeps connections by number has dropped them by then.
void EndpointList::give_back_numbers() {
  std::erase_if(leaving_, [this](BackendId number) {
    Known& known = backends_[number];
    if (known.gone && known.uses > 0) return false;
    known.leaving = false;
    if (!known.gone) return true;  // it is back
    numbers_.erase(known.host);
    known = Known{};
    free_.push_back(number);
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
