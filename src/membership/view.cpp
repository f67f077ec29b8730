#include "membership/view.h"

#include <algorithm>
#include <utility>

namespace shorelead::membership {
namespace {

constexpr std::size_t kMostRoom = 1000000;

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
  source.heard = now;
  source.epoch = epoch;
  source.revision = revision;
  if (part.first) {
    ++source.round;
    // Growing step by step would move all that is there, in the middle of some page.
    const std::size_t room = std::min(part.expected, kMostRoom);
    source.records.reserve(room);
    shown_.reserve(room);
    by_dial_.reserve(room);
  }
  std::vector<std::string> touched;
  for (const Entry& entry : entries) {
    if (entry.unreadable) {
      const auto it = source.records.find(entry.member.host);
      if (it != source.records.end()) it->second.round = source.round;
      continue;
    }
    if (put(source, entry, true, now)) touched.push_back(entry.member.host);
    source.records.at(entry.member.host).round = source.round;
  }
  if (part.last) {
    ++counters_.snapshots;
    source.known = true;
    for (auto& [host, record] : source.records) {
      if (!record.there || record.round == source.round) continue;
      // Its revision stays that of its last change: the next snapshot may have it again as it was. One of
      // another epoch says nothing in this one, where any news of it is newer.
      remove(source, record, record.epoch == epoch ? record.revision : 0, !is_draining(record.member), now);
      touched.push_back(host);
    }
  }
  std::sort(touched.begin(), touched.end());
  settle(touched, now, update);
  if (part.last) confirm(now, update);
  return update;
}

Update View::change(int number, const std::vector<Change>& changes, Millis now) {
  Update update;
  Source& source = sources_[static_cast<std::size_t>(number)];
  source.heard = now;
  std::vector<std::string> touched;
  for (const Change& change : changes) {
    ++counters_.changes;
    const Entry& entry = change.entry;
    source.revision = std::max(source.revision, entry.revision);
    const Member& member = entry.member;
    if (entry.unreadable) continue;
    if (is_ready(member) || is_draining(member)) {
      if (put(source, entry, false, now)) touched.push_back(member.host);
      continue;
    }
    const auto [it, fresh] = source.records.try_emplace(member.host);
    Record& record = it->second;
    if (fresh) {
      record.member = member;
      record.epoch = source.epoch;
    }
    if (!fresh && record.epoch == source.epoch && entry.revision <= record.revision) {
      counters_.older += entry.revision < record.revision;
      continue;
    }
    remove(source, record, entry.revision, change.vanished && !is_draining(record.member), now);
    touched.push_back(member.host);
  }
  std::sort(touched.begin(), touched.end());
  touched.erase(std::unique(touched.begin(), touched.end()), touched.end());
  settle(touched, now, update);
  return update;
}

void View::heard(int source, Millis now) { sources_[static_cast<std::size_t>(source)].heard = now; }

// Whether the record is another one now.
bool View::put(Source& source, const Entry& entry, bool in_snapshot, Millis now) {
  const auto [it, fresh] = source.records.try_emplace(entry.member.host);
  Record& record = it->second;
  if (!fresh) {
    // A snapshot may have again, unchanged, what one before it did not have.
    const bool again = in_snapshot && !record.there && record.vanished && entry.revision == record.revision;
    if (record.epoch == source.epoch && entry.revision <= record.revision && !again) {
      counters_.older += entry.revision < record.revision;
      return false;
    }
    const bool left = record.there ? is_draining(record.member) : !record.vanished;
    if (record.epoch != source.epoch && in_snapshot && left && is_ready(entry.member) &&
        entry.member.born <= record.member.born) {
      // Older news under a new epoch's numbers. It stays as it is, until it is changed in this epoch.
      ++counters_.kept_out;
      record.epoch = source.epoch;
      record.revision = entry.revision;
      return false;
    }
  }
  if (!is_ready(entry.member) && !is_draining(entry.member)) {
    // A word that no node knows: nothing new goes there.
    record.member = entry.member;
    record.epoch = source.epoch;
    remove(source, record, entry.revision, false, now);
    return true;
  }
  const bool same = record.there && record.member == entry.member;
  record.member = entry.member;
  record.epoch = source.epoch;
  record.revision = entry.revision;
  record.there = true;
  record.vanished = false;
  return !same;
}

void View::remove(Source& source, Record& record, std::uint64_t revision, bool vanished, Millis now) {
  record.there = false;
  record.vanished = vanished;
  record.epoch = source.epoch;
  record.revision = revision;
  record.gone_at = now;
  bury(source, record.member.host, now);
}

// Records of those gone are kept for a while, so that older news does not bring them back.
void View::bury(Source& source, const std::string& host, Millis now) {
  source.tombstones.emplace_back(now, host);
  while (source.tombstones.front().first + options_.remember < now) {
    const auto it = source.records.find(source.tombstones.front().second);
    const bool still = it != source.records.end() && !it->second.there &&
                       it->second.gone_at == source.tombstones.front().first;
    if (still) source.records.erase(it);
    source.tombstones.pop_front();
  }
}

// What all sources together say of it; `vanished`: that it is gone, but not by its own word.
std::optional<Member> View::told(const std::string& host, bool& vanished) const {
  std::optional<Member> member;
  bool drains = false;
  bool by_word = false;
  Millis left_born = -1;
  for (const Source& source : sources_) {
    const auto it = source.records.find(host);
    if (it == source.records.end()) continue;
    const Record& record = it->second;
    if (record.there) {
      if (!member) member = record.member;
      drains = drains || is_draining(record.member);
    } else if (!record.vanished) {
      by_word = true;
      left_born = std::max(left_born, record.member.born);
    }
  }
  vanished = !by_word;
  if (member && by_word && member->born <= left_born) return std::nullopt;
  if (member && drains) member->health = "draining";
  return member;
}

void View::settle(const std::vector<std::string>& hosts, Millis now, Update& update) {
  std::vector<std::string> losses;
  for (const std::string& host : hosts) {
    bool vanished = false;
    std::optional<Member> member = told(host, vanished);
    const auto it = shown_.find(host);
    if (!member && vanished && it != shown_.end() && is_ready(it->second.member)) {
      if (held_.count(host) == 0) losses.push_back(host);
      continue;
    }
    show(host, std::move(member), now, update);
  }
  if (losses.empty()) return;
  if (!below_floor(losses.size(), now)) {
    for (const std::string& host : losses) {
      losses_.push_back(now);
      hide(host, update);
    }
    return;
  }
  if (held_.empty()) ++counters_.held;
  for (const std::string& host : losses) held_[host] = now;
  update.ask_again = true;
  ask_at_ = now + options_.ask_every;
}

// Whether too few would be left if so many more were lost, of those that there were at the window's begin.
bool View::below_floor(std::size_t losing, Millis now) {
  while (!losses_.empty() && losses_.front() + options_.window < now) losses_.pop_front();
  const double before = static_cast<double>(ready_ + losses_.size());
  const double left = static_cast<double>(ready_) - static_cast<double>(held_.size() + losing);
  return options_.floor > 0 && before >= options_.floor_from && left < options_.floor * before;
}

// After a snapshot: what it has again is there, and what has been held for long enough is believed.
void View::confirm(Millis now, Update& update) {
  for (auto it = held_.begin(); it != held_.end();) {
    const std::string host = it->first;
    if (now - it->second < options_.hold) {
      ++it;
      continue;
    }
    it = held_.erase(it);
    ++counters_.believed;
    losses_.push_back(now);
    hide(host, update);
  }
}

Update View::believe(Millis now) {
  Update update;
  const auto all = std::exchange(held_, {});
  for (const auto& [host, held] : all) {
    ++counters_.believed;
    losses_.push_back(now);
    hide(host, update);
  }
  return update;
}

void View::hide(const std::string& host, Update& update) {
  const auto it = shown_.find(host);
  if (it == shown_.end()) return;
  const Member& member = it->second.member;
  if (is_ready(member)) {
    --ready_;
    const auto dial = by_dial_.find(member.dial);
    if (dial != by_dial_.end() && dial->second == host) by_dial_.erase(dial);
  }
  update.changes.push_back(gone(member));
  returns_[host] = std::move(it->second.returns);
  shown_.erase(it);
}

void View::show(const std::string& host, std::optional<Member> member, Millis now, Update& update) {
  if (held_.erase(host) > 0) ++counters_.restored;
  if (!member) return hide(host, update);
  const bool was_shown = shown_.count(host) > 0;
  if (!was_shown && is_draining(*member)) {
    // One that is first heard of as it drains: there is nothing to end, but nodes may know it from elsewhere.
    update.changes.push_back(*member);
    Shown& fresh = shown_[host];
    fresh.member = std::move(*member);
    if (const auto old = returns_.find(host); old != returns_.end()) {
      fresh.returns = std::move(old->second);
      returns_.erase(old);
    }
    return;
  }
  if (is_ready(*member)) {
    // An address answers for one backend at a time: the one born last, or else the one told of last.
    const auto holder = by_dial_.find(member->dial);
    if (holder != by_dial_.end() && holder->second != host) {
      const std::string other = holder->second;
      if (shown_.at(other).member.born > member->born) return hide(host, update);
      ++counters_.moved;
      held_.erase(other);
      hide(other, update);
    }
  }
  pass_on(host, *member, now, update);
}

// Shows it, but a backend that keeps coming back is shown draining for a while.
void View::pass_on(const std::string& host, const Member& member, Millis now, Update& update) {
  const auto found = shown_.find(host);
  const bool was_ready = found != shown_.end() && is_ready(found->second.member);
  Shown& shown = shown_[host];
  bool seen = found != shown_.end();
  if (const auto old = returns_.find(host); old != returns_.end()) {
    shown.returns = std::move(old->second);
    returns_.erase(old);
    seen = true;
  }
  Member visible = member;
  if (is_ready(member) && !was_ready && seen) {
    if (shown.ready_at <= now) {
      shown.returns.push_back(now);
      while (shown.returns.front() + options_.flap_window < now) shown.returns.pop_front();
      const int over = static_cast<int>(shown.returns.size()) - options_.flaps;
      if (options_.flaps > 0 && over > 0) {
        Millis wait = options_.flap_wait;
        for (int n = 1; n < over && wait < options_.flap_most; ++n) wait *= 2;
        shown.ready_at = now + std::min(wait, options_.flap_most);
        waiting_.emplace(shown.ready_at, host);
        ++counters_.flaps;
      }
    }
    if (shown.ready_at > now) visible.health = "draining";
  }
  if (shown.member == visible) return;
  if (was_ready) {
    --ready_;
    const auto dial = by_dial_.find(shown.member.dial);
    if (dial != by_dial_.end() && dial->second == host) by_dial_.erase(dial);
  }
  if (is_ready(visible)) {
    ++ready_;
    by_dial_[visible.dial] = host;
  }
  shown.member = visible;
  update.changes.push_back(visible);
}

Update View::tick(Millis now) {
  Update update;
  while (!waiting_.empty() && waiting_.begin()->first <= now) {
    const std::string host = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    const auto it = shown_.find(host);
    if (it == shown_.end() || it->second.ready_at > now) continue;
    bool vanished = false;
    auto member = told(host, vanished);
    if (!member || !is_ready(*member) || is_ready(it->second.member)) continue;
    const auto holder = by_dial_.find(member->dial);
    if (holder != by_dial_.end() && holder->second != host) continue;
    it->second.member = *member;
    ++ready_;
    by_dial_[member->dial] = host;
    update.changes.push_back(std::move(*member));
  }
  if (!held_.empty() && now >= ask_at_) {
    update.ask_again = true;
    ask_at_ = now + options_.ask_every;
  }
  // Those that are gone and came back too long ago to count.
  if (returns_.size() > shown_.size() + 1024) {
    std::erase_if(returns_, [&](const auto& one) {
      return one.second.empty() || one.second.back() + options_.flap_window < now;
    });
  }
  return update;
}

std::optional<Millis> View::next() const {
  std::optional<Millis> at;
  if (!waiting_.empty()) at = waiting_.begin()->first;
  if (!held_.empty()) at = at ? std::min(*at, ask_at_) : ask_at_;
  return at;
}

Millis View::last_heard() const {
  Millis last = 0;
  for (const Source& source : sources_) last = std::max(last, source.heard);
  return last;
}

bool View::stale(Millis now) const { return now - last_heard() > options_.stale_after; }

std::vector<Member> View::members() const {
  std::vector<Member> all;
  all.reserve(shown_.size());
  for (const auto& [host, shown] : shown_) all.push_back(shown.member);
  std::sort(all.begin(), all.end(), [](const Member& a, const Member& b) { return a.host < b.host; });
  return all;
}

}  // namespace shorelead::membership
