// A key-value store with revisions, as published for etcd v3: every change, or transaction of several, has
// the next number, a watch may begin at any number that has not been compacted away, and a lease takes its
// keys with it. In simulated time, without I/O: the stand-in registry puts it on sockets, and model tests
// drive it alone. It must never forget a change that it was not told to compact or to lose.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/millis.h"
#include "lab/key_txn.h"
#include "lab/leases.h"

namespace shorelead::lab {

struct KeyChange {
  std::uint64_t revision = 0;
  std::string key;
  bool deleted = false;
  StoredKey now;  // of a deletion only `changed` counts
};

class KeyStore {
 public:
  using Range = RangeResult;

  std::uint64_t put(const std::string& key, const std::string& value, std::int64_t lease = 0);
  std::uint64_t remove(const std::string& key);  // 0 where there is none
  // One revision for all that it writes, none where it writes nothing; ranges see what it wrote before them.
  TxnResult txn(const Txn& txn);

  // `lease` 0: a number is chosen. The lease's number, or 0 where there is one of this number.
  std::int64_t grant(std::int64_t lease, Millis length, Millis now);
  bool keep_alive(std::int64_t lease, Millis now);
  bool revoke(std::int64_t lease);  // with its keys, at one revision; false where there is none
  void expire(Millis now);          // leases that ran out take their keys with them
  const Leases::Lease* lease(std::int64_t lease) const { return leases_.find(lease); }
  std::vector<std::string> keys_of(std::int64_t lease) const;

  // As it was at `revision` (0 = now); only those changed at `since` or later are given, and all are counted.
  Range range(const std::string& from, const std::string& end, std::size_t limit, std::uint64_t revision,
              std::uint64_t since = 0) const;

  // What changed from `start` to `until`; nothing where that has been compacted.
  std::optional<std::vector<KeyChange>> changes(std::uint64_t start, std::uint64_t until,
                                                const std::string& from, const std::string& end) const;

  void compact(std::uint64_t revision);
  // Comes back as it was at `revision`, as from a copy: another cluster with an older history. Leases of then
  // last for their whole length from now. `same`: it lost its tail without a new number for the cluster.
  void restore(std::uint64_t revision, Millis now, bool same = false);

  std::uint64_t revision() const { return revision_; }
  std::uint64_t compacted() const { return compacted_; }
  std::uint64_t cluster() const { return cluster_; }

 private:
  std::map<std::string, StoredKey> at(std::uint64_t revision) const;
  static bool within(const std::string& key, const std::string& from, const std::string& end);
  bool holds(const Comparison& comparison) const;
  TxnError fault(const std::vector<TxnOp>& ops) const;
  void write(const std::string& key, const std::string& value, std::int64_t lease, std::uint64_t revision);
  std::uint64_t erase(const std::string& from, const std::string& end, std::uint64_t revision);

  std::map<std::string, StoredKey> keys_;
  std::vector<KeyChange> log_;  // all of it, to answer for any revision
  Leases leases_;
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_ = 0;
  std::uint64_t cluster_ = 0x5e1f;
};

}  // namespace shorelead::lab
