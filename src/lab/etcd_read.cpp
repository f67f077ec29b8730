// Requests as a server reads them.
#include <rapidjson/document.h>

#include <boost/beast/core/detail/base64.hpp>
#include <charconv>

#include "lab/etcd_text.h"

namespace shorelead::lab::etcd {
namespace {

using Json = rapidjson::Value;

// Reads the fields of one object, in both spellings of the mapping; the first that cannot be read is kept.
class Fields {
 public:
  Fields(const Json& object, std::string& cause) : object_(object), cause_(cause) {}

  const Json* find(const std::string& name) const {
    if (!object_.IsObject()) return nullptr;
    auto it = object_.FindMember(name.c_str());
    if (it == object_.MemberEnd()) it = object_.FindMember(camel(name).c_str());
    return it == object_.MemberEnd() ? nullptr : &it->value;
  }
  std::string bytes(const std::string& name) const {
    const Json* const found = find(name);
    if (found == nullptr) return "";
    if (!found->IsString()) return bad(name), "";
    namespace base64 = boost::beast::detail::base64;
    std::string out(base64::decoded_size(found->GetStringLength()), '\0');
    out.resize(base64::decode(out.data(), found->GetString(), found->GetStringLength()).first);
    return out;
  }
  std::int64_t number(const std::string& name) const {
    const Json* const found = find(name);
    if (found == nullptr) return 0;
    if (found->IsInt64()) return found->GetInt64();
    std::int64_t value = 0;
    const char* const begin = found->IsString() ? found->GetString() : nullptr;
    const char* const end = begin == nullptr ? nullptr : begin + found->GetStringLength();
    if (begin == nullptr || std::from_chars(begin, end, value).ptr != end) bad(name);
    return value;
  }
  std::uint64_t count(const std::string& name) const {
    const std::int64_t value = number(name);
    if (value < 0) bad(name);
    return value < 0 ? 0 : static_cast<std::uint64_t>(value);
  }
  bool flag(const std::string& name) const {
    const Json* const found = find(name);
    if (found != nullptr && !found->IsBool()) bad(name);
    return found != nullptr && found->IsBool() && found->GetBool();
  }
  std::string word(const std::string& name) const {
    const Json* const found = find(name);
    return found != nullptr && found->IsString() ? found->GetString() : "";
  }
  template <typename Each>
  void each(const std::string& name, const Each& take) const {
    const Json* const found = find(name);
    if (found == nullptr) return;
    if (!found->IsArray()) return bad(name);
    for (const Json& one : found->GetArray()) take(one);
  }
  void bad(const std::string& name) const {
    if (cause_.empty()) cause_ = "etcdserver: cannot read " + name;
  }

 private:
  static std::string camel(const std::string& name) {
    std::string out;
    for (std::size_t n = 0; n < name.size(); ++n) {
      const bool up = name[n] == '_' && n + 1 < name.size();
      out += up ? static_cast<char>(std::toupper(name[++n])) : name[n];
    }
    return out;
  }
  const Json& object_;
  std::string& cause_;
};

RangeOp range(const Fields& in) {
  RangeOp op;
  op.from = in.bytes("key");
  op.end = in.bytes("range_end");
  op.limit = in.count("limit");
  op.revision = in.count("revision");
  op.since = in.count("min_mod_revision");
  op.keys_only = in.flag("keys_only");
  if (op.from.empty()) in.bad("key");
  return op;
}

PutOp put(const Fields& in) {
  PutOp op{in.bytes("key"), in.bytes("value"), in.number("lease")};
  if (op.key.empty()) in.bad("key");
  return op;
}

DeleteOp deletion(const Fields& in) { return {in.bytes("key"), in.bytes("range_end")}; }

TxnOp operation(const Json& object, std::string& cause) {
  const Fields in(object, cause);
  if (const Json* const found = in.find("request_range")) return range({*found, cause});
  if (const Json* const found = in.find("request_put")) return put({*found, cause});
  if (const Json* const found = in.find("request_delete_range")) return deletion({*found, cause});
  in.bad("an operation");
  return DeleteOp{};
}

Comparison comparison(const Json& object, std::string& cause) {
  const Fields in(object, cause);
  Comparison c;
  c.key = in.bytes("key");
  c.end = in.bytes("range_end");
  const std::string holds = in.word("result");
  if (holds == "GREATER") c.holds = Comparison::Holds::kGreater;
  if (holds == "LESS") c.holds = Comparison::Holds::kLess;
  if (holds == "NOT_EQUAL") c.holds = Comparison::Holds::kNotEqual;
  const std::string of = in.word("target");  // the first of its kind, VERSION, is left out by some
  if (of == "CREATE") {
    c.of = Comparison::Of::kCreated;
    c.number = in.count("create_revision");
  } else if (of == "MOD") {
    c.of = Comparison::Of::kChanged;
    c.number = in.count("mod_revision");
  } else if (of == "VALUE") {
    c.of = Comparison::Of::kValue;
    c.value = in.bytes("value");
  } else if (of == "LEASE") {
    c.of = Comparison::Of::kLease;
    c.number = in.count("lease");
  } else {
    c.of = Comparison::Of::kVersion;
    c.number = in.count("version");
  }
  return c;
}

Call key_call(std::string_view path, const Json& document, std::string& cause) {
  const Fields in(document, cause);
  KeyCall call;
  if (path == "/v3/kv/range") {
    call.form = KeyCall::Form::kRange;
    call.serializable = in.flag("serializable");
    call.txn.success.emplace_back(range(in));
  } else if (path == "/v3/kv/put") {
    call.form = KeyCall::Form::kPut;
    call.txn.success.emplace_back(put(in));
  } else if (path == "/v3/kv/deleterange") {
    call.form = KeyCall::Form::kDelete;
    call.txn.success.emplace_back(deletion(in));
  } else {
    in.each("compare", [&](const Json& one) { call.txn.compare.push_back(comparison(one, cause)); });
    in.each("success", [&](const Json& one) { call.txn.success.push_back(operation(one, cause)); });
    in.each("failure", [&](const Json& one) { call.txn.failure.push_back(operation(one, cause)); });
  }
  return call;
}

}  // namespace

std::optional<Call> read_call(std::string_view path, std::string body, std::string& cause) {
  cause.clear();
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
  if (document.HasParseError() || !document.IsObject()) return cause = "no JSON object", std::nullopt;
  const Fields in(document, cause);
  std::optional<Call> call;
  if (path == "/v3/kv/range" || path == "/v3/kv/put" || path == "/v3/kv/deleterange" ||
      path == "/v3/kv/txn") {
    call = key_call(path, document, cause);
  } else if (path == "/v3/watch") {
    const Json* const create = in.find("create_request");
    if (create == nullptr) return in.bad("create_request"), std::nullopt;
    const Fields asked(*create, cause);
    call = WatchCall{asked.bytes("key"), asked.bytes("range_end"), asked.count("start_revision")};
  } else if (path == "/v3/lease/grant") {
    call = GrantCall{in.number("ID"), in.number("TTL")};
  } else if (path == "/v3/lease/keepalive") {
    call = KeepAliveCall{in.number("ID")};
  } else if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
    call = RevokeCall{in.number("ID")};
  } else if (path == "/v3/lease/timetolive" || path == "/v3/kv/lease/timetolive") {
    call = TimeToLiveCall{in.number("ID"), in.flag("keys")};
  }
  return cause.empty() ? call : std::nullopt;
}

}  // namespace shorelead::lab::etcd
