// The texts of the stand-in registry: etcd v3's JSON gateway as published, read from the side of a server and
// written as one. Pure. Its own, so that a client's reading is not tested against itself; it must never take
// a request that it has not read whole.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "lab/key_store.h"

namespace shorelead::lab::etcd {

struct WatchCall {
  std::string from;
  std::string end;
  std::uint64_t start = 0;  // 0 = from now on
};
struct GrantCall {
  std::int64_t id = 0;
  std::int64_t seconds = 0;
};
struct KeepAliveCall {
  std::int64_t id = 0;
};
struct RevokeCall {
  std::int64_t id = 0;
};
struct TimeToLiveCall {
  std::int64_t id = 0;
  bool keys = false;
};
// A range, a put and a deletion are transactions of one thing.
struct KeyCall {
  enum class Form { kRange, kPut, kDelete, kTxn };
  Form form = Form::kTxn;
  Txn txn;
  bool serializable = false;  // the member may answer from what it has
};
using Call = std::variant<KeyCall, WatchCall, GrantCall, KeepAliveCall, RevokeCall, TimeToLiveCall>;

// Nothing where there is no such path (`cause` stays empty) or the body cannot be read.
std::optional<Call> read_call(std::string_view path, std::string body, std::string& cause);

// {"header":{...}, without the closing brace.
std::string head(std::uint64_t cluster, std::size_t member, std::uint64_t revision);
std::string item(const std::string& key, const StoredKey& stored);
std::string event(const KeyChange& change);
// What follows the head of an answer; begins with a comma or is empty.
std::string tail(const KeyCall& call, const TxnResult& result);

struct Failure {
  const char* status;  // of HTTP
  int code;            // of gRPC
  const char* text;
};
inline constexpr Failure kNoSpace{"429 Too Many Requests", 8, "etcdserver: mvcc: database space exceeded"};
inline constexpr Failure kNoLease{"404 Not Found", 5, "etcdserver: requested lease not found"};
inline constexpr Failure kLeaseExists{"400 Bad Request", 9, "etcdserver: lease already exists"};
inline constexpr Failure kBadTtl{"400 Bad Request", 11, "etcdserver: too large lease TTL"};
Failure failure_of(TxnError error);
std::string text_of(const Failure& failure);

std::string to_base64(const std::string& text);

}  // namespace shorelead::lab::etcd
