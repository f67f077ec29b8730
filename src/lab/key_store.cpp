#include "lab/key_store.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shorelead::lab {

bool KeyStore::within(const std::string& key, const std::string& from, const std::string& end) {
  if (end.empty()) return key == from;
  return key >= from && (end == std::string(1, '\0') || key < end);
}

void KeyStore::write(const std::string& key, const std::string& value, std::int64_t lease,
                     std::uint64_t revision) {
  StoredKey& stored = keys_[key];
  if (stored.version == 0) stored.created = revision;
  stored.value = value;
  stored.changed = revision;
  ++stored.version;
  stored.lease = lease;
  log_.push_back({revision, key, false, stored});
}

std::uint64_t KeyStore::erase(const std::string& from, const std::string& end, std::uint64_t revision) {
  std::uint64_t count = 0;
  for (auto it = keys_.lower_bound(from); it != keys_.end() && within(it->first, from, end);) {
    KeyChange change{revision, it->first, true, {}};
    change.now.changed = revision;
    log_.push_back(std::move(change));
    it = keys_.erase(it);
    ++count;
  }
  return count;
}

std::uint64_t KeyStore::put(const std::string& key, const std::string& value, std::int64_t lease) {
  write(key, value, lease, ++revision_);
  return revision_;
}

std::uint64_t KeyStore::remove(const std::string& key) {
  if (erase(key, "", revision_ + 1) == 0) return 0;
  return ++revision_;
}

bool KeyStore::holds(const Comparison& c) const {
  const auto one = [&c](const StoredKey& stored, bool there) {
    const auto judge = [&c](const auto& has, const auto& wanted) {
      switch (c.holds) {
        case Comparison::Holds::kEqual:
          return has == wanted;
        case Comparison::Holds::kGreater:
          return has > wanted;
        case Comparison::Holds::kLess:
          return has < wanted;
        default:
          return has != wanted;
      }
    };
    switch (c.of) {
      case Comparison::Of::kCreated:
        return judge(stored.created, c.number);
      case Comparison::Of::kChanged:
        return judge(stored.changed, c.number);
      case Comparison::Of::kVersion:
        return judge(stored.version, c.number);
      case Comparison::Of::kLease:
        return judge(static_cast<std::uint64_t>(stored.lease), c.number);
      default:
        return there && judge(stored.value, c.value);
    }
  };
  auto it = keys_.lower_bound(c.key);
  if (it == keys_.end() || !within(it->first, c.key, c.end)) return one({}, false);
  for (; it != keys_.end() && within(it->first, c.key, c.end); ++it) {
    if (!one(it->second, true)) return false;
  }
  return true;
}

// What stands in the way of these, before anything is done.
TxnError KeyStore::fault(const std::vector<TxnOp>& ops) const {
  std::set<std::string> puts;
  for (const TxnOp& op : ops) {
    const auto* const put = std::get_if<PutOp>(&op);
    if (put != nullptr && !puts.insert(put->key).second) return TxnError::kDuplicateKey;
  }
  for (const TxnOp& op : ops) {
    if (const auto* const range = std::get_if<RangeOp>(&op)) {
      if (range->revision > revision_) return TxnError::kFuture;
      if (range->revision > 0 && range->revision < compacted_) return TxnError::kCompacted;
    } else if (const auto* const put = std::get_if<PutOp>(&op)) {
      if (put->lease != 0 && !leases_.there(put->lease)) return TxnError::kNoLease;
    } else {
      const auto& gone = std::get<DeleteOp>(op);
      const auto hit = [&gone](const std::string& key) { return within(key, gone.from, gone.end); };
      if (std::any_of(puts.begin(), puts.end(), hit)) return TxnError::kDuplicateKey;
    }
  }
  return TxnError::kNone;
}

TxnResult KeyStore::txn(const Txn& txn) {
  TxnResult result;
  result.revision = revision_;
  result.succeeded = std::all_of(txn.compare.begin(), txn.compare.end(),
                                 [this](const Comparison& comparison) { return holds(comparison); });
  const std::vector<TxnOp>& ops = result.succeeded ? txn.success : txn.failure;
  result.error = fault(ops);
  if (result.error != TxnError::kNone) return result;
  const std::uint64_t next = revision_ + 1;
  bool wrote = false;
  for (const TxnOp& op : ops) {
    TxnResult::Op& out = result.ops.emplace_back();
    if (const auto* const asked = std::get_if<RangeOp>(&op)) {
      out.range = range(asked->from, asked->end, asked->limit, asked->revision, asked->since);
      for (auto& [key, stored] : out.range.items) {
        if (asked->keys_only) stored.value.clear();
      }
    } else if (const auto* const put = std::get_if<PutOp>(&op)) {
      write(put->key, put->value, put->lease, next);
      wrote = true;
    } else {
      const auto& gone = std::get<DeleteOp>(op);
      out.deleted = erase(gone.from, gone.end, next);
      wrote = wrote || out.deleted > 0;
    }
  }
  if (wrote) revision_ = next;
  result.revision = revision_;
  return result;
}

std::int64_t KeyStore::grant(std::int64_t lease, Millis length, Millis now) {
  const std::int64_t id = lease != 0 ? lease : leases_.unused();
  return leases_.grant(id, length, now, revision_) ? id : 0;
}

bool KeyStore::keep_alive(std::int64_t lease, Millis now) { return leases_.keep_alive(lease, now); }

std::vector<std::string> KeyStore::keys_of(std::int64_t lease) const {
  std::vector<std::string> keys;
  for (const auto& [key, stored] : keys_) {
    if (stored.lease == lease) keys.push_back(key);
  }
  return keys;
}

bool KeyStore::revoke(std::int64_t lease) {
  if (!leases_.there(lease)) return false;
  const std::vector<std::string> keys = keys_of(lease);
  for (const std::string& key : keys) erase(key, "", revision_ + 1);
  if (!keys.empty()) ++revision_;
  leases_.end(lease, revision_);
  return true;
}

void KeyStore::expire(Millis now) {
  while (const auto lease = leases_.run_out(now)) revoke(*lease);
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
  const bool latest = revision == 0 || revision >= revision_;
  const std::map<std::string, StoredKey> old = latest ? std::map<std::string, StoredKey>() : at(revision);
  const std::map<std::string, StoredKey>& keys = latest ? keys_ : old;
  for (auto it = keys.lower_bound(from); it != keys.end() && within(it->first, from, end); ++it) {
    const auto& [key, stored] = *it;
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

void KeyStore::restore(std::uint64_t revision, Millis now, bool same) {
  keys_ = at(revision);
  std::erase_if(log_, [revision](const KeyChange& change) { return change.revision > revision; });
  revision_ = std::min(revision_, revision);
  compacted_ = std::min(compacted_, revision_);
  leases_.restore(revision_, now);
  if (!same) ++cluster_;
}

}  // namespace shorelead::lab
