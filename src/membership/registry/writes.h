// What is said to a registry to change it and what it answers: etcd v3's JSON gateway (txn, leases), as in
// its published rpc.proto. Pure. It must never take an answer for one that does not fit what was asked.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "membership/registry/messages.h"

namespace shorelead::membership::registry {

// A key's revision at creation, or at its last change, is this number (0: there is no such key).
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

// Where all comparisons hold, `success`; else `failure`. All of it happens at one revision.
struct Txn {
  std::vector<Compare> compare;
  std::vector<Step> success;
  std::vector<Step> failure;
};
struct TxnAnswer {
  Header header;
  bool succeeded = false;
  std::vector<Page> pages;  // of the steps of the branch that was taken, empty for others than ranges
};

struct LeaseAnswer {
  Header header;
  std::int64_t id = 0;
  std::int64_t seconds = 0;  // as the registry chose; of one that was to be kept: 0 = it is gone
};

// An answer that is no success: what it says.
struct Refusal {
  int code = 0;  // of gRPC; 0 = not told
  std::string text;
};
inline constexpr int kNotFound = 5;

std::string txn_request(const Txn& txn);
std::string grant_request(std::int64_t seconds);
std::string lease_request(std::int64_t id);  // to keep it alive, or to revoke it

// Nothing and the cause where the text is none, or answers something else.
std::optional<TxnAnswer> parse_txn(const Txn& asked, std::string text, std::string& cause);
std::optional<LeaseAnswer> parse_grant(std::string text, std::string& cause);
std::optional<LeaseAnswer> parse_kept(std::int64_t id, std::string text, std::string& cause);
std::optional<Header> parse_revoked(std::string text, std::string& cause);
Refusal parse_refusal(std::string text);

}  // namespace shorelead::membership::registry
