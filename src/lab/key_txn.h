// A transaction on the stand-in's store, as data: what is compared, what is then done, what came of it, as
// published for etcd v3 (no transaction within another). Owns no code; it must never be carried out but by
// KeyStore::txn.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace shorelead::lab {

struct StoredKey {
  std::string value;
  std::uint64_t created = 0;
  std::uint64_t changed = 0;
  std::uint64_t version = 0;
  std::int64_t lease = 0;
};

// Of a key that is not there each number is 0, and no comparison of its value holds.
struct Comparison {
  enum class Of { kCreated, kChanged, kVersion, kValue, kLease };
  enum class Holds { kEqual, kGreater, kLess, kNotEqual };
  std::string key;
  Of of = Of::kCreated;
  Holds holds = Holds::kEqual;
  std::uint64_t number = 0;
  std::string value;  // kValue
  std::string end;    // not empty: all keys from `key` to before it
};

// Keys from `from` to before `end`; an empty end: this one key; "\0": to the last one.
struct RangeOp {
  std::string from;
  std::string end;
  std::size_t limit = 0;       // 0 = all
  std::uint64_t revision = 0;  // 0 = now
  std::uint64_t since = 0;     // only those changed then or later are given, and all are counted
  bool keys_only = false;      // values are left out
};
struct PutOp {
  std::string key;
  std::string value;
  std::int64_t lease = 0;
};
struct DeleteOp {
  std::string from;
  std::string end;
};
using TxnOp = std::variant<RangeOp, PutOp, DeleteOp>;

struct Txn {
  std::vector<Comparison> compare;
  std::vector<TxnOp> success;
  std::vector<TxnOp> failure;
};

struct RangeResult {
  bool compacted = false;
  std::vector<std::pair<std::string, StoredKey>> items;
  bool more = false;
  std::uint64_t count = 0;
};

enum class TxnError { kNone, kDuplicateKey, kNoLease, kCompacted, kFuture };

struct TxnResult {
  struct Op {
    RangeResult range;
    std::uint64_t deleted = 0;
  };
  TxnError error = TxnError::kNone;  // with any, nothing was done
  bool succeeded = false;
  std::uint64_t revision = 0;  // of the store behind it
  std::vector<Op> ops;
};

}  // namespace shorelead::lab
