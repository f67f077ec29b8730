#include "membership/registry/writes.h"

#include <limits>

#include "membership/registry/json.h"

namespace shorelead::membership::registry {
namespace {

using namespace json;

void write(Writer& out, const Step& step) {
  out.StartObject();
  if (const auto* const put = std::get_if<Put>(&step)) {
    out.Key("request_put");
    out.StartObject();
    text(out, "key", base64(put->key));
    text(out, "value", base64(put->value));
    if (put->lease != 0) text(out, "lease", std::to_string(put->lease));
  } else if (const auto* const gone = std::get_if<Delete>(&step)) {
    out.Key("request_delete_range");
    out.StartObject();
    text(out, "key", base64(gone->key));
  } else {
    const Get& get = std::get<Get>(step);
    out.Key("request_range");
    out.StartObject();
    text(out, "key", base64(get.from));
    if (!get.end.empty()) text(out, "range_end", base64(get.end));
    if (get.keys_only) {
      out.Key("keys_only");
      out.Bool(true);
    }
  }
  out.EndObject();
  out.EndObject();
}

void write(Writer& out, const char* key, const std::vector<Step>& steps) {
  out.Key(key);
  out.StartArray();
  for (const Step& step : steps) write(out, step);
  out.EndArray();
}

const char* response_to(const Step& step) {
  if (std::holds_alternative<Put>(step)) return "response_put";
  return std::holds_alternative<Get>(step) ? "response_range" : "response_delete_range";
}

bool lease_id(const Json& object, std::int64_t& out, std::string& cause) {
  std::uint64_t id = 0;
  if (!number(object, "ID", id, cause)) return false;
  if (id == 0 || id > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
    return cause = "ID is not a lease ID", false;
  }
  out = static_cast<std::int64_t>(id);
  return true;
}

// The TTL of an expired lease is missing or negative.
bool seconds(const Json& object, std::int64_t& out, std::string& cause) {
  const Json* const found = find(object, "TTL");
  const bool below = found != nullptr && ((found->IsString() && found->GetString()[0] == '-') ||
                                          (found->IsInt64() && found->GetInt64() < 0));
  std::uint64_t value = 0;
  if (!below && !number(object, "TTL", value, cause)) return false;
  if (value > 1'000'000'000'000ULL) return cause = "TTL is out of range", false;
  out = static_cast<std::int64_t>(value);
  return true;
}

}  // namespace

std::string txn_request(const Txn& txn) {
  rapidjson::StringBuffer buffer;
  Writer out(buffer);
  out.StartObject();
  out.Key("compare");
  out.StartArray();
  for (const Compare& compare : txn.compare) {
    const bool created = compare.of == Compare::Of::kCreated;
    out.StartObject();
    text(out, "result", "EQUAL");
    text(out, "target", created ? "CREATE" : "MOD");
    text(out, "key", base64(compare.key));
    text(out, created ? "create_revision" : "mod_revision", std::to_string(compare.number));
    out.EndObject();
  }
  out.EndArray();
  write(out, "success", txn.success);
  write(out, "failure", txn.failure);
  out.EndObject();
  return buffer.GetString();
}

std::string grant_request(std::int64_t seconds) {
  return "{\"TTL\":\"" + std::to_string(seconds) + "\",\"ID\":\"0\"}";
}

std::string lease_request(std::int64_t id) { return "{\"ID\":\"" + std::to_string(id) + "\"}"; }

std::optional<TxnAnswer> parse_txn(const Txn& asked, std::string body, std::string& cause) {
  Document document;
  TxnAnswer answer;
  if (!parse(document, body, cause) || !header(document, answer.header, cause) ||
      !flag(document, "succeeded", answer.succeeded, cause)) {
    return std::nullopt;
  }
  const std::vector<Step>& steps = answer.succeeded ? asked.success : asked.failure;
  bool bad = false;
  const Json* const responses = array(document, "responses", bad);
  if (bad) return cause = "responses is not a list", std::nullopt;
  if ((responses == nullptr ? 0 : responses->Size()) != steps.size()) {
    return cause = "there are not as many responses as steps", std::nullopt;
  }
  answer.pages.resize(steps.size());
  for (rapidjson::SizeType n = 0; n < steps.size(); ++n) {
    const Json& one = (*responses)[n];
    const Json* const found = one.IsObject() ? find(one, response_to(steps[n])) : nullptr;
    if (found == nullptr || !found->IsObject())
      return cause = "a response does not fit its step", std::nullopt;
    const bool range = std::holds_alternative<Get>(steps[n]);
    if (range && !page(*found, answer.pages[n], cause)) return std::nullopt;
    answer.pages[n].header = answer.header;
  }
  return answer;
}

std::optional<LeaseAnswer> parse_grant(std::string body, std::string& cause) {
  Document document;
  LeaseAnswer answer;
  if (!parse(document, body, cause) || !header(document, answer.header, cause) ||
      !lease_id(document, answer.id, cause) || !seconds(document, answer.seconds, cause)) {
    return std::nullopt;
  }
  if (answer.seconds == 0) return cause = "the lease has no duration", std::nullopt;
  return answer;
}

std::optional<LeaseAnswer> parse_kept(std::int64_t id, std::string body, std::string& cause) {
  Document document;
  LeaseAnswer answer;
  if (!parse(document, body, cause)) return std::nullopt;
  const Json* const result = find(document, "result");
  if (result == nullptr || !result->IsObject()) return cause = "there is no result", std::nullopt;
  if (!header(*result, answer.header, cause) || !lease_id(*result, answer.id, cause) ||
      !seconds(*result, answer.seconds, cause)) {
    return std::nullopt;
  }
  if (answer.id != id) return cause = "the answer is of another lease", std::nullopt;
  return answer;
}

std::optional<Header> parse_revoked(std::string body, std::string& cause) {
  Document document;
  Header out;
  if (!parse(document, body, cause) || !header(document, out, cause)) return std::nullopt;
  return out;
}

Refusal parse_refusal(std::string body) {
  Document document;
  Refusal refusal;
  std::string ignored;
  if (!parse(document, body, ignored)) return {0, "an error that cannot be read"};
  std::uint64_t code = 0;
  if (number(document, "code", code, ignored) && code < 100) refusal.code = static_cast<int>(code);
  for (const char* const name : {"message", "error"}) {
    const Json* const words = find(document, name);
    if (words != nullptr && words->IsString() && refusal.text.empty()) refusal.text = words->GetString();
  }
  return refusal;
}

}  // namespace shorelead::membership::registry
