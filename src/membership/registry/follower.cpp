#include "membership/registry/follower.h"

#include <algorithm>
#include <utility>

namespace shorelead::membership::registry {
namespace {

constexpr std::size_t kMaxReserve = 1000000;

}  // namespace

Follower::Follower(View& view, int source, std::string prefix, int endpoints, std::uint64_t seed,
                   const FollowerOptions& options)
    : view_(view),
      source_(source),
      prefix_(std::move(prefix)),
      end_(prefix_end(prefix_)),
      endpoints_(endpoints),
      options_(options),
      random_(seed),
      endpoint_(static_cast<int>(random_() % static_cast<std::uint64_t>(endpoints))),
      page_from_(prefix_) {}

Follower::Call Follower::next() const {
  Call call;
  call.kind = mode_ == Mode::kWatch ? Call::Kind::kWatch : Call::Kind::kRange;
  call.endpoint = endpoint_;
  call.at = call_at_;
  call.body = mode_ == Mode::kWatch ? watch_request(prefix_, end_, reached_ + 1)
                                    : range_request(page_from_, end_, options_.page, page_revision_, 0);
  return call;
}

std::string Follower::host_of(const std::string& key) const {
  return key.size() > prefix_.size() && key.compare(0, prefix_.size(), prefix_) == 0
             ? key.substr(prefix_.size())
             : std::string();
}

Entry Follower::entry_of(const KeyValue& item) {
  Entry entry;
  entry.revision = item.revision;
  std::string cause;
  if (auto member = parse_member(host_of(item.key), item.value, cause)) {
    entry.member = std::move(*member);
    return entry;
  }
  ++counters_.unreadable;
  last_unreadable_ = item.key + ": " + cause;
  entry.member.host = host_of(item.key);
  entry.unreadable = true;
  return entry;
}

// Starts over with a new snapshot at the then current revision.
void Follower::resync() {
  mode_ = Mode::kRange;
  page_revision_ = 0;
  page_from_ = prefix_;
  paged_keys_.clear();
  fragment_.clear();
  suspect_since_.reset();
}

// Returns whether the response comes from a history that ends before what was seen, until all endpoints have
// been behind for long enough.
bool Follower::is_behind(const Header& header, Millis now) {
  if (cluster_ != 0 && header.cluster != cluster_) {
    // Another cluster: its revisions are unrelated to the old ones.
    ++counters_.epochs;
    cluster_ = header.cluster;
    history_ = 0;
    behind_since_.reset();
    restart_history();
    return false;
  }
  cluster_ = header.cluster;
  const std::uint64_t seen = std::max(reached_, page_revision_);
  if (!synced_ || header.revision >= seen) {
    behind_since_.reset();
    behind_in_row_ = 0;
    return false;
  }
  ++counters_.behind;
  ++behind_in_row_;
  if (!behind_since_) behind_since_ = now;
  if (now - *behind_since_ < options_.behind_for || behind_in_row_ < endpoints_) return true;
  ++counters_.epochs;
  ++history_;
  behind_since_.reset();
  behind_in_row_ = 0;
  restart_history();
  return false;
}

// Calls in progress are of no use in another history, except for a first page.
void Follower::restart_history() {
  reached_ = 0;
  if (mode_ == Mode::kRange && page_revision_ == 0) return;
  resync();
  must_close_ = true;
}

Update Follower::page(const Page& page, Millis now) {
  must_close_ = false;
  const bool first = page_revision_ == 0;
  if (is_behind(page.header, now)) must_close_ = true;
  if (must_close_) return {};
  if (first) {
    ++counters_.ranges;
    page_revision_ = std::max<std::uint64_t>(page.header.revision, 1);
    paged_keys_.reserve(std::min<std::size_t>(page.count, kMaxReserve));
  }
  std::vector<Entry> entries;
  entries.reserve(page.items.size());
  for (const KeyValue& item : page.items) {
    paged_keys_.insert(item.key);
    if (host_of(item.key).empty()) continue;
    entries.push_back(entry_of(item));
  }
  const bool last = !page.more || page.items.empty();
  Update update = view_.page(source_, cluster_ ^ (history_ * 0x9E3779B97F4A7C15ULL), page_revision_, entries,
                             {first, last, page.count}, now);
  if (update.behind) {
    must_close_ = true;
    return update;
  }
  if (!last) {
    page_from_ = page.items.back().key + std::string(1, '\0');
    call_at_ = now;
    return update;
  }
  reached_ = page_revision_;
  keys_ = std::move(paged_keys_);
  synced_ = true;
  resync();
  mode_ = Mode::kWatch;
  call_at_ = now;
  return update;
}

Update Follower::line(const WatchLine& line, Millis now) {
  must_close_ = false;
  ++lines_;
  if (line.canceled) {
    must_close_ = true;
    if (line.compacted > 0) {
      ++counters_.compacted;
      resync();
    } else {
      ++counters_.failures;
    }
    return {};
  }
  if (line.created) {
    ++counters_.watches;
    counters_.resumed += up_since_ > 0 ? 1 : 0;
    up_since_ = now;
    check_at_ = now + options_.check_every;
    suspect_since_.reset();
  }
  if (is_behind(line.header, now)) must_close_ = true;
  if (must_close_) return {};
  view_.heard(source_, now);
  failures_ = now - up_since_ >= options_.established ? 0 : failures_;
  fragment_.insert(fragment_.end(), line.events.begin(), line.events.end());
  if (line.fragment) return {};
  std::vector<View::Change> changes;
  changes.reserve(fragment_.size());
  for (const Event& event : std::exchange(fragment_, {})) {
    const std::string host = host_of(event.item.key);
    reached_ = std::max(reached_, event.item.revision);
    event.deleted ? void(keys_.erase(event.item.key)) : void(keys_.insert(event.item.key));
    if (host.empty()) continue;
    View::Change change;
    if (event.deleted) {
      change.entry.member.host = host;
      change.entry.member.health = "gone";
      change.entry.revision = event.item.revision;
      change.vanished = true;  // the registry does not say whether a lease expired
    } else {
      change.entry = entry_of(event.item);
    }
    changes.push_back(std::move(change));
  }
  // A progress notification, and the header that comes with events, guarantee that nothing before was left
  // out; the header of a watch just created does not.
  if (line.events.empty() && !line.created) reached_ = std::max(reached_, line.header.revision);
  return changes.empty() ? Update{} : view_.change(source_, changes, now);
}

void Follower::range_failed(bool compacted, Millis now) {
  ++counters_.failures;
  if (compacted) {
    // The pages' revision was compacted while they were read: starts again with the first page.
    ++counters_.compacted;
    resync();
  }
  switch_endpoint(now);
}

void Follower::switch_endpoint(Millis now) {
  endpoint_ = (endpoint_ + 1) % endpoints_;
  Millis max = options_.backoff;
  for (int n = 0; n < failures_ && max < options_.backoff_most; ++n) max *= 2;
  ++failures_;
  call_at_ = now + std::uniform_real_distribution<double>(0, std::min(max, options_.backoff_most))(random_);
}

void Follower::ended(Millis now) {
  fragment_.clear();
  suspect_since_.reset();
  const bool established = mode_ == Mode::kWatch && up_since_ > 0 && now - up_since_ >= options_.established;
  // Pages at one revision can continue at another endpoint; a watch resumes after its last change.
  if (!established) return switch_endpoint(now);
  failures_ = 0;
  endpoint_ = (endpoint_ + 1) % endpoints_;
  call_at_ = now + std::uniform_real_distribution<double>(0, options_.spread)(random_);
}

std::optional<Millis> Follower::check_at() const {
  if (mode_ != Mode::kWatch || up_since_ == 0 || options_.check_every <= 0) return std::nullopt;
  return suspect_since_ ? std::min(check_at_, *suspect_since_ + options_.deaf_for) : check_at_;
}

std::string Follower::check_body() const { return range_request(prefix_, end_, 1, 0, reached_ + 1); }

void Follower::check_begun(Millis now) {
  check_at_ = now + options_.check_every;
  check_lines_ = lines_;
}

// The watch is deaf if a check knows of a change and no message has arrived for `deaf_for` since.
void Follower::checked(const Page& page, Millis now) {
  if (mode_ != Mode::kWatch || page.header.cluster != cluster_) return;
  const bool differs = !page.items.empty() || page.count != keys_.size();
  if (!differs || page.header.revision < reached_) {
    suspect_since_.reset();
    return;
  }
  if (!suspect_since_ || suspect_lines_ != lines_) {
    suspect_since_ = now;
    suspect_lines_ = lines_;
    check_at_ = now + options_.deaf_for;
    return;
  }
  if (now - *suspect_since_ < options_.deaf_for) return;
  ++counters_.deaf;
  resync();
  must_close_ = true;
}

void Follower::check_failed(Millis now) { check_at_ = now + options_.check_every; }

}  // namespace shorelead::membership::registry
