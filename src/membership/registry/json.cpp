#include "membership/registry/json.h"

#include <rapidjson/error/en.h>

#include <charconv>
#include <string_view>

namespace shorelead::membership::registry::json {

bool parse(Document& document, std::string& text, std::string& cause) {
  document.ParseInsitu<rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag>(text.data());
  if (document.HasParseError()) {
    cause = "broken JSON at byte " + std::to_string(document.GetErrorOffset()) + ": " +
            rapidjson::GetParseError_En(document.GetParseError());
    return false;
  }
  if (!document.IsObject()) cause = "the text is not a JSON object";
  return document.IsObject();
}

const Json* find(const Json& object, const char* name) {
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() ? nullptr : &it->value;
}

bool number(const Json& object, const char* name, std::uint64_t& value, std::string& cause) {
  const Json* const found = find(object, name);
  value = 0;
  if (found == nullptr) return true;
  if (found->IsUint64()) {
    value = found->GetUint64();
    return true;
  }
  if (found->IsString()) {
    const char* const end = found->GetString() + found->GetStringLength();
    const auto [rest, error] = std::from_chars(found->GetString(), end, value);
    if (error == std::errc() && rest == end) return true;
  }
  cause = std::string(name) + " is not a whole number";
  return false;
}

bool flag(const Json& object, const char* name, bool& value, std::string& cause) {
  const Json* const found = find(object, name);
  value = found != nullptr && found->IsBool() && found->GetBool();
  if (found == nullptr || found->IsBool()) return true;
  cause = std::string(name) + " is neither true nor false";
  return false;
}

bool header(const Json& object, Header& out, std::string& cause) {
  const Json* const found = find(object, "header");
  if (found == nullptr || !found->IsObject()) {
    cause = "there is no header";
    return false;
  }
  return number(*found, "cluster_id", out.cluster, cause) && number(*found, "member_id", out.member, cause) &&
         number(*found, "revision", out.revision, cause);
}

bool bytes(const Json& object, const char* name, std::string& out, std::string& cause) {
  const Json* const found = find(object, name);
  out.clear();
  if (found == nullptr) return true;
  if (found->IsString()) {
    if (auto decoded = from_base64({found->GetString(), found->GetStringLength()})) {
      out = std::move(*decoded);
      return true;
    }
  }
  cause = std::string(name) + " is not in base64";
  return false;
}

bool item(const Json& object, KeyValue& out, std::string& cause) {
  if (!object.IsObject()) {
    cause = "a key is not an object";
    return false;
  }
  return bytes(object, "key", out.key, cause) && bytes(object, "value", out.value, cause) &&
         number(object, "create_revision", out.created, cause) &&
         number(object, "mod_revision", out.revision, cause);
}

const Json* array(const Json& object, const char* name, bool& bad) {
  const Json* const found = find(object, name);
  bad = found != nullptr && !found->IsArray();
  return bad ? nullptr : found;
}

bool page(const Json& object, Page& out, std::string& cause) {
  if (!flag(object, "more", out.more, cause) || !number(object, "count", out.count, cause)) return false;
  bool bad = false;
  const Json* const items = array(object, "kvs", bad);
  if (bad) return cause = "kvs is not a list", false;
  if (items == nullptr) return true;
  out.items.resize(items->Size());
  for (rapidjson::SizeType n = 0; n < items->Size(); ++n) {
    if (!item((*items)[n], out.items[n], cause)) return false;
  }
  return true;
}

void text(Writer& out, const char* key, const std::string& value) {
  out.Key(key);
  out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

}  // namespace shorelead::membership::registry::json
