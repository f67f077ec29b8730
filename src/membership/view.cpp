#include "membership/view.h"

#include <algorithm>
#include <utility>

namespace shorelead::membership {
namespace {

constexpr std::size_t kMaxReserve = 1000000;

bool is_ready(const Member& m) { return m.health == "ready"; }
bool is_draining(const Member& m) { return m.health == "draining"; }

Member gone(const Member& m) {
  Member left = m;
  left.health = "gone";
  return left;
}

}  // namespace

View::View(const Options& options, int sources)
    : options_(options), sources_(static_cast<std::size_t>(sources)) {}

Update View::snapshot(int source, std::uint64_t epoch, std::uint64_t revision,
                      const std::vector<Entry>& entries, Millis now) {
  return page(source, epoch, revision, entries, Part{}, now);
}

Update View::page(int number, std::uint64_t epoch, std::uint64_t revision, const std::vector<Entry>& entries,
                  const Part& part, Millis now) {
  Update update;
  Source& source = sources_[static_cast<std::size_t>(number)];
  if (source.known && epoch == source.epoch && revision < source.revision) {
    ++counters_.behind;
    update.behind = true;
    return update;
  }
  source.last_heard = now;
  source.epoch = epoch;
  source.revision = revision;
  if (part.first) {
    ++source.snapshot_number;
    // Reserved once, as growing step by step would rehash everything in the middle of some page.
    const std::size_t reserve = std::min(part.expected, kMaxReserve);
    source.records.reserve(reserve);
    published_.reserve(reserve);
    by_dial_.reserve(reserve);
  }
  std::vector<std::string> changed_hosts;
  for (const Entry& entry : entries) {
    if (entry.unreadable) {
      const auto it = source.records.find(entry.member.host);
      if (it != source.records.end()) it->second.snapshot_number = source.snapshot_number;
      continue;
    }
    if (put(source, entry, true, now)) changed_hosts.push_back(entry.member.host);
    source.records.at(entry.member.host).snapshot_number = source.snapshot_number;
  }
  if (part.last) {
    ++counters_.snapshots;
    source.known = true;
    for (auto& [host, record] : source.records) {
      if (!record.present || record.snapshot_number == source.snapshot_number) continue;
      // Keeps the revision of its last change, as the next snapshot may have it again unchanged. A record of
      // another epoch gets revision 0, so that any change in this epoch is newer.
      remove(source, record, record.epoch == epoch ? record.revision : 0, !is_draining(record.member), now);
      changed_hosts.push_back(host);
    }
  }
  std::sort(changed_hosts.begin(), changed_hosts.end());
  reconcile(changed_hosts, now, update);
  if (part.last) expire_holds(now, update);
  return update;
}

Update View::change(int number, const std::vector<Change>& changes, Millis now) {
  Update update;
  Source& source = sources_[static_cast<std::size_t>(number)];
  source.last_heard = now;
  std::vector<std::string> changed_hosts;
  for (const Change& change : changes) {
    ++counters_.changes;
    const Entry& entry = change.entry;
    source.revision = std::max(source.revision, entry.revision);
    const Member& member = entry.member;
    if (entry.unreadable) continue;
    if (is_ready(member) || is_draining(member)) {
      if (put(source, entry, false, now)) changed_hosts.push_back(member.host);
      continue;
    }
    const auto [it, added] = source.records.try_emplace(member.host);
    Record& record = it->second;
    if (added) {
      record.member = member;
      record.epoch = source.epoch;
    }
    if (!added && record.epoch == source.epoch && entry.revision <= record.revision) {
      counters_.older += entry.revision < record.revision;
      continue;
    }
    remove(source, record, entry.revision, change.vanished && !is_draining(record.member), now);
    changed_hosts.push_back(member.host);
  }
  std::sort(changed_hosts.begin(), changed_hosts.end());
  changed_hosts.erase(std::unique(changed_hosts.begin(), changed_hosts.end()), changed_hosts.end());
  reconcile(changed_hosts, now, update);
  return update;
}

void View::heard(int source, Millis now) { sources_[static_cast<std::size_t>(source)].last_heard = now; }

// Returns whether the record has changed.
bool View::put(Source& source, const Entry& entry, bool in_snapshot, Millis now) {
  const auto [it, added] = source.records.try_emplace(entry.member.host);
  Record& record = it->second;
  if (!added) {
    // A snapshot may have, unchanged, what the one before it lacked.
    const bool again = in_snapshot && !record.present && record.vanished && entry.revision == record.revision;
    if (record.epoch == source.epoch && entry.revision <= record.revision && !again) {
      counters_.older += entry.revision < record.revision;
      return false;
    }
    const bool left = record.present ? is_draining(record.member) : !record.vanished;
    if (record.epoch != source.epoch && in_snapshot && left && is_ready(entry.member) &&
        entry.member.started <= record.member.started) {
      // Older state under a new epoch's revisions: ignored until the backend is changed in this epoch.
      ++counters_.kept_out;
      record.epoch = source.epoch;
      record.revision = entry.revision;
      return false;
    }
  }
  if (!is_ready(entry.member) && !is_draining(entry.member)) {
    // An unknown health value: nothing new goes there.
    record.member = entry.member;
    record.epoch = source.epoch;
    remove(source, record, entry.revision, false, now);
    return true;
  }
  const bool same = record.present && record.member == entry.member;
  record.member = entry.member;
  record.epoch = source.epoch;
  record.revision = entry.revision;
  record.present = true;
  record.vanished = false;
  return !same;
}

void View::remove(Source& source, Record& record, std::uint64_t revision, bool vanished, Millis now) {
  record.present = false;
  record.vanished = vanished;
  record.epoch = source.epoch;
  record.revision = revision;
  record.gone_at = now;
  add_tombstone(source, record.member.host, now);
}

// Keeps tombstones for a while, so that older changes do not bring backends back.
void View::add_tombstone(Source& source, const std::string& host, Millis now) {
  source.tombstones.emplace_back(now, host);
  while (source.tombstones.front().first + options_.remember < now) {
    const auto it = source.records.find(source.tombstones.front().second);
    const bool still = it != source.records.end() && !it->second.present &&
                       it->second.gone_at == source.tombstones.front().first;
    if (still) source.records.erase(it);
    source.tombstones.pop_front();
  }
}

// Merges what all sources say of a backend; `vanished`: it is gone, but did not announce it.
std::optional<Member> View::merged(const std::string& host, bool& vanished) const {
  std::optional<Member> member;
  bool draining = false;
  bool announced = false;
  Millis last_start = -1;
  for (const Source& source : sources_) {
    const auto it = source.records.find(host);
    if (it == source.records.end()) continue;
    const Record& record = it->second;
    if (record.present) {
      if (!member) member = record.member;
      draining = draining || is_draining(record.member);
    } else if (!record.vanished) {
      announced = true;
      last_start = std::max(last_start, record.member.started);
    }
  }
  vanished = !announced;
  if (member && announced && member->started <= last_start) return std::nullopt;
  if (member && draining) member->health = "draining";
  return member;
}

void View::reconcile(const std::vector<std::string>& hosts, Millis now, Update& update) {
  std::vector<std::string> losses;
  for (const std::string& host : hosts) {
    bool vanished = false;
    std::optional<Member> member = merged(host, vanished);
    const auto it = published_.find(host);
    if (!member && vanished && it != published_.end() && is_ready(it->second.member)) {
      if (held_.count(host) == 0) losses.push_back(host);
      continue;
    }
    publish(host, std::move(member), now, update);
  }
  if (losses.empty()) return;
  if (!below_floor(losses.size(), now)) {
    for (const std::string& host : losses) {
      losses_.push_back(now);
      unpublish(host, update);
    }
    return;
  }
  if (held_.empty()) ++counters_.held;
  for (const std::string& host : losses) held_[host] = now;
  update.refetch = true;
  refetch_at_ = now + options_.ask_every;
}

// Whether too few of the backends ready at the start of the window would be left if `losing` more were lost.
bool View::below_floor(std::size_t losing, Millis now) {
  while (!losses_.empty() && losses_.front() + options_.window < now) losses_.pop_front();
  const double before = static_cast<double>(ready_ + losses_.size());
  const double left = static_cast<double>(ready_) - static_cast<double>(held_.size() + losing);
  return options_.floor > 0 && before >= options_.floor_from && left < options_.floor * before;
}

// After a snapshot: losses that have been held for long enough take effect.
void View::expire_holds(Millis now, Update& update) {
  for (auto it = held_.begin(); it != held_.end();) {
    const std::string host = it->first;
    if (now - it->second < options_.hold) {
      ++it;
      continue;
    }
    it = held_.erase(it);
    ++counters_.believed;
    losses_.push_back(now);
    unpublish(host, update);
  }
}

Update View::believe(Millis now) {
  Update update;
  const auto all = std::exchange(held_, {});
  for (const auto& [host, held] : all) {
    ++counters_.believed;
    losses_.push_back(now);
    unpublish(host, update);
  }
  return update;
}

void View::unpublish(const std::string& host, Update& update) {
  const auto it = published_.find(host);
  if (it == published_.end()) return;
  const Member& member = it->second.member;
  if (is_ready(member)) {
    --ready_;
    const auto dial = by_dial_.find(member.dial);
    if (dial != by_dial_.end() && dial->second == host) by_dial_.erase(dial);
  }
  update.changes.push_back(gone(member));
  returns_[host] = std::move(it->second.returns);
  published_.erase(it);
}

void View::publish(const std::string& host, std::optional<Member> member, Millis now, Update& update) {
  if (held_.erase(host) > 0) ++counters_.restored;
  if (!member) return unpublish(host, update);
  const bool was_published = published_.count(host) > 0;
  if (!was_published && is_draining(*member)) {
    // First heard of while draining: there are no connections to close, but nodes may know it from elsewhere.
    update.changes.push_back(*member);
    Published& added = published_[host];
    added.member = std::move(*member);
    if (const auto old = returns_.find(host); old != returns_.end()) {
      added.returns = std::move(old->second);
      returns_.erase(old);
    }
    return;
  }
  if (is_ready(*member)) {
    // An address belongs to one backend at a time: the one started last, or else the one heard of last.
    const auto holder = by_dial_.find(member->dial);
    if (holder != by_dial_.end() && holder->second != host) {
      const std::string other = holder->second;
      if (published_.at(other).member.started > member->started) return unpublish(host, update);
      ++counters_.moved;
      held_.erase(other);
      unpublish(other, update);
    }
  }
  publish_damped(host, *member, now, update);
}

// Publishes a member, but one that keeps coming back is published as draining for a while.
void View::publish_damped(const std::string& host, const Member& member, Millis now, Update& update) {
  const auto found = published_.find(host);
  const bool was_ready = found != published_.end() && is_ready(found->second.member);
  Published& published = published_[host];
  bool was_seen = found != published_.end();
  if (const auto old = returns_.find(host); old != returns_.end()) {
    published.returns = std::move(old->second);
    returns_.erase(old);
    was_seen = true;
  }
  Member visible = member;
  if (is_ready(member) && !was_ready && was_seen) {
    if (published.ready_at <= now) {
      published.returns.push_back(now);
      while (published.returns.front() + options_.flap_window < now) published.returns.pop_front();
      const int excess = static_cast<int>(published.returns.size()) - options_.flaps;
      if (options_.flaps > 0 && excess > 0) {
        Millis wait = options_.flap_wait;
        for (int n = 1; n < excess && wait < options_.flap_most; ++n) wait *= 2;
        published.ready_at = now + std::min(wait, options_.flap_most);
        flapping_.emplace(published.ready_at, host);
        ++counters_.flaps;
      }
    }
    if (published.ready_at > now) visible.health = "draining";
  }
  if (published.member == visible) return;
  if (was_ready) {
    --ready_;
    const auto dial = by_dial_.find(published.member.dial);
    if (dial != by_dial_.end() && dial->second == host) by_dial_.erase(dial);
  }
  if (is_ready(visible)) {
    ++ready_;
    by_dial_[visible.dial] = host;
  }
  published.member = visible;
  update.changes.push_back(visible);
}

Update View::tick(Millis now) {
  Update update;
  while (!flapping_.empty() && flapping_.begin()->first <= now) {
    const std::string host = flapping_.begin()->second;
    flapping_.erase(flapping_.begin());
    const auto it = published_.find(host);
    if (it == published_.end() || it->second.ready_at > now) continue;
    bool vanished = false;
    auto member = merged(host, vanished);
    if (!member || !is_ready(*member) || is_ready(it->second.member)) continue;
    const auto holder = by_dial_.find(member->dial);
    if (holder != by_dial_.end() && holder->second != host) continue;
    it->second.member = *member;
    ++ready_;
    by_dial_[member->dial] = host;
    update.changes.push_back(std::move(*member));
  }
  if (!held_.empty() && now >= refetch_at_) {
    update.refetch = true;
    refetch_at_ = now + options_.ask_every;
  }
  // Drops return times of absent members that are too old to count.
  if (returns_.size() > published_.size() + 1024) {
    std::erase_if(returns_, [&](const auto& one) {
      return one.second.empty() || one.second.back() + options_.flap_window < now;
    });
  }
  return update;
}

std::optional<Millis> View::next() const {
  std::optional<Millis> at;
  if (!flapping_.empty()) at = flapping_.begin()->first;
  if (!held_.empty()) at = at ? std::min(*at, refetch_at_) : refetch_at_;
  return at;
}

Millis View::last_heard() const {
  Millis last = 0;
  for (const Source& source : sources_) last = std::max(last, source.last_heard);
  return last;
}

bool View::stale(Millis now) const { return now - last_heard() > options_.stale_after; }

std::vector<Member> View::members() const {
  std::vector<Member> all;
  all.reserve(published_.size());
  for (const auto& [host, published] : published_) all.push_back(published.member);
  std::sort(all.begin(), all.end(), [](const Member& a, const Member& b) { return a.host < b.host; });
  return all;
}

}  // namespace shorelead::membership
