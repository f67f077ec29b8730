// Requests that change a registry, and its responses: etcd v3's JSON gateway (txn, leases), as in its
// published rpc.proto. Pure. A response that does not fit its request is an error.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "membership/registry/messages.h"

namespace shorelead::membership::registry {

// Compares a key's create or last-change revision with this number (0: the key does not exist).
struct Compare {
  enum class Of { kCreated, kChanged };
  std::string key;
  Of of = Of::kCreated;
  std::uint64_t number = 0;
};
struct Put {
  std::string key;
  std::string value;
  std::int64_t lease = 0;  // 0 = none
};
struct Get {
  std::string from;
  std::string end;  // empty: this one key
  bool keys_only = false;
};
struct Delete {
  std::string key;
};
using Step = std::variant<Put, Get, Delete>;

// Runs `success` if all comparisons hold, else `failure`; atomically, at one revision.
struct Txn {
  std::vector<Compare> compare;
  std::vector<Step> success;
  std::vector<Step> failure;
};
struct TxnAnswer {
  Header header;
  bool succeeded = false;
  std::vector<Page> pages;  // of the steps of the executed branch; empty for steps other than ranges
};

struct LeaseAnswer {
  Header header;
  std::int64_t id = 0;
  std::int64_t seconds = 0;  // as granted by the registry; in a keep-alive response 0 = the lease is gone
};

// An error response.
struct Refusal {
  int code = 0;  // of gRPC; 0 = unknown
  std::string text;
};
inline constexpr int kNotFound = 5;

std::string txn_request(const Txn& txn);
std::string grant_request(std::int64_t seconds);
std::string lease_request(std::int64_t id);  // for a keep-alive or a revocation

// Return nothing and the cause if the text is not valid or answers another request.
std::optional<TxnAnswer> parse_txn(const Txn& asked, std::string text, std::string& cause);
std::optional<LeaseAnswer> parse_grant(std::string text, std::string& cause);
std::optional<LeaseAnswer> parse_kept(std::int64_t id, std::string text, std::string& cause);
std::optional<Header> parse_revoked(std::string text, std::string& cause);
Refusal parse_refusal(std::string text);

}  // namespace shorelead::membership::registry
