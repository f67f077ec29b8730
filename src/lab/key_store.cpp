#include "lab/key_store.h"

#include <algorithm>

namespace shorelead::lab {

bool KeyStore::within(const std::string& key, const std::string& from, const std::string& end) {
  return key >= from && (end == std::string(1, '\0') || key < end);
}

std::uint64_t KeyStore::put(const std::string& key, const std::string& value, std::int64_t lease) {
  ++revision_;
  StoredKey& stored = keys_[key];
  if (stored.version == 0) stored.created = revision_;
  stored.value = value;
  stored.changed = revision_;
  ++stored.version;
  stored.lease = lease;
  log_.push_back({revision_, key, false, stored});
  return revision_;
}

std::uint64_t KeyStore::remove(const std::string& key) {
  if (keys_.erase(key) == 0) return 0;
  ++revision_;
  KeyChange change{revision_, key, true, {}};
  change.now.changed = revision_;
  log_.push_back(std::move(change));
  return revision_;
}

void KeyStore::grant(std::int64_t lease, Millis length, Millis now) {
  leases_[lease] = {length, now + length};
}

bool KeyStore::keep_alive(std::int64_t lease, Millis now) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) return false;
  it->second.ends = now + it->second.length;
  return true;
}

void KeyStore::expire(Millis now) {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.ends > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, stored] : keys_) {
      if (stored.lease == it->first) keys.push_back(key);
    }
    for (const std::string& key : keys) remove(key);
    it = leases_.erase(it);
  }
}

std::map<std::string, StoredKey> KeyStore::at(std::uint64_t revision) const {
  if (revision >= revision_) return keys_;
  std::map<std::string, StoredKey> keys;
  for (const KeyChange& change : log_) {
    if (change.revision > revision) break;
    if (change.deleted) {
      keys.erase(change.key);
    } else {
      keys[change.key] = change.now;
    }
  }
  return keys;
}

KeyStore::Range KeyStore::range(const std::string& from, const std::string& end, std::size_t limit,
                                std::uint64_t revision, std::uint64_t since) const {
  Range range;
  if (revision > 0 && revision < compacted_) {
    range.compacted = true;
    return range;
  }
  for (const auto& [key, stored] : at(revision == 0 ? revision_ : revision)) {
    if (!within(key, from, end)) continue;
    ++range.count;
    if (stored.changed < since) continue;
    if (limit > 0 && range.items.size() >= limit) {
      range.more = true;
      continue;
    }
    range.items.emplace_back(key, stored);
  }
  return range;
}

std::optional<std::vector<KeyChange>> KeyStore::changes(std::uint64_t start, std::uint64_t until,
                                                        const std::string& from,
                                                        const std::string& end) const {
  if (start <= compacted_) return std::nullopt;
  std::vector<KeyChange> found;
  auto it = std::lower_bound(log_.begin(), log_.end(), start,
                             [](const KeyChange& change, std::uint64_t n) { return change.revision < n; });
  for (; it != log_.end() && it->revision <= until; ++it) {
    if (within(it->key, from, end)) found.push_back(*it);
  }
  return found;
}

void KeyStore::compact(std::uint64_t revision) {
  compacted_ = std::max(compacted_, std::min(revision, revision_));
}

void KeyStore::restore(std::uint64_t revision) {
  keys_ = at(revision);
  std::erase_if(log_, [revision](const KeyChange& change) { return change.revision > revision; });
  revision_ = std::min(revision_, revision);
  compacted_ = std::min(compacted_, revision_);
  leases_.clear();
  ++cluster_;
}

}  // namespace shorelead::lab
