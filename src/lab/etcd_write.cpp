// Answers as a server writes them: numbers as decimal strings, what has its first value left out.
#include <spdlog/fmt/fmt.h>

#include <boost/beast/core/detail/base64.hpp>

#include "lab/etcd_text.h"

namespace shorelead::lab::etcd {
namespace {

std::string range_tail(const RangeResult& range) {
  std::string items;
  for (const auto& [key, stored] : range.items)
    items += fmt::format("{}{}", items.empty() ? "" : ",", item(key, stored));
  std::string text;
  if (!items.empty()) text += fmt::format(R"(,"kvs":[{}])", items);
  if (range.more) text += ",\"more\":true";
  if (range.count > 0) text += fmt::format(R"(,"count":"{}")", range.count);
  return text;
}

std::string deleted_tail(std::uint64_t count) {
  return count == 0 ? "" : fmt::format(R"(,"deleted":"{}")", count);
}

}  // namespace

std::string to_base64(const std::string& text) {
  namespace base64 = boost::beast::detail::base64;
  std::string out(base64::encoded_size(text.size()), '\0');
  out.resize(base64::encode(out.data(), text.data(), text.size()));
  return out;
}

std::string head(std::uint64_t cluster, std::size_t member, std::uint64_t revision) {
  return fmt::format(R"({{"header":{{"cluster_id":"{}","member_id":"{}","revision":"{}","raft_term":"2"}})",
                     cluster, member + 1, revision);
}

std::string item(const std::string& key, const StoredKey& stored) {
  std::string text = fmt::format(R"({{"key":"{}","create_revision":"{}","mod_revision":"{}","version":"{}")",
                                 to_base64(key), stored.created, stored.changed, stored.version);
  if (!stored.value.empty()) text += fmt::format(R"(,"value":"{}")", to_base64(stored.value));
  if (stored.lease != 0) text += fmt::format(R"(,"lease":"{}")", stored.lease);
  return text + "}";
}

std::string event(const KeyChange& change) {
  if (!change.deleted) return fmt::format(R"({{"kv":{}}})", item(change.key, change.now));
  return fmt::format(R"({{"type":"DELETE","kv":{{"key":"{}","mod_revision":"{}"}}}})", to_base64(change.key),
                     change.revision);
}

std::string tail(const KeyCall& call, const TxnResult& result) {
  if (call.form == KeyCall::Form::kRange) return range_tail(result.ops.front().range);
  if (call.form == KeyCall::Form::kPut) return "";
  if (call.form == KeyCall::Form::kDelete) return deleted_tail(result.ops.front().deleted);
  std::string responses;
  const std::vector<TxnOp>& ops = result.succeeded ? call.txn.success : call.txn.failure;
  const std::string revision = fmt::format(R"({{"header":{{"revision":"{}"}})", result.revision);
  for (std::size_t n = 0; n < ops.size(); ++n) {
    const TxnResult::Op& out = result.ops[n];
    std::string one = "{\"response_put\":" + revision;
    if (std::holds_alternative<RangeOp>(ops[n])) {
      one = "{\"response_range\":" + revision + range_tail(out.range);
    } else if (std::holds_alternative<DeleteOp>(ops[n])) {
      one = "{\"response_delete_range\":" + revision + deleted_tail(out.deleted);
    }
    responses += fmt::format("{}{}}}}}", n == 0 ? "" : ",", one);
  }
  std::string text = result.succeeded ? ",\"succeeded\":true" : "";
  if (!responses.empty()) text += fmt::format(R"(,"responses":[{}])", responses);
  return text;
}

Failure failure_of(TxnError error) {
  switch (error) {
    case TxnError::kDuplicateKey:
      return {"400 Bad Request", 3, "etcdserver: duplicate key given in txn request"};
    case TxnError::kNoLease:
      return kNoLease;
    case TxnError::kCompacted:
      return {"400 Bad Request", 11, "etcdserver: mvcc: required revision has been compacted"};
    default:
      return {"400 Bad Request", 11, "etcdserver: mvcc: required revision is a future revision"};
  }
}

std::string text_of(const Failure& failure) {
  return fmt::format(R"({{"error":"{0}","code":{1},"message":"{0}"}})", failure.text, failure.code);
}

}  // namespace shorelead::lab::etcd
