#include "membership/registry/messages.h"

#include <cmath>

#include "membership/registry/json.h"

namespace shorelead::membership::registry {
namespace {

using namespace json;

constexpr double kMaxSize = 1e6;
constexpr int kMaxCell = 1000000;

}  // namespace

std::string prefix_end(std::string prefix) {
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 255) prefix.pop_back();
  if (prefix.empty()) return std::string(1, '\0');
  prefix.back() = static_cast<char>(static_cast<unsigned char>(prefix.back()) + 1);
  return prefix;
}

std::string range_request(std::string_view from, std::string_view end, std::size_t limit,
                          std::uint64_t revision, std::uint64_t since) {
  rapidjson::StringBuffer buffer;
  Writer out(buffer);
  out.StartObject();
  text(out, "key", base64(from));
  text(out, "range_end", base64(end));
  text(out, "limit", std::to_string(limit));
  if (revision > 0) text(out, "revision", std::to_string(revision));
  if (since > 0) text(out, "min_mod_revision", std::to_string(since));
  out.EndObject();
  return buffer.GetString();
}

std::string watch_request(std::string_view from, std::string_view end, std::uint64_t start) {
  rapidjson::StringBuffer buffer;
  Writer out(buffer);
  out.StartObject();
  out.Key("create_request");
  out.StartObject();
  text(out, "key", base64(from));
  text(out, "range_end", base64(end));
  text(out, "start_revision", std::to_string(start));
  out.Key("progress_notify");
  out.Bool(true);
  out.Key("fragment");
  out.Bool(true);
  out.EndObject();
  out.EndObject();
  return buffer.GetString();
}

std::optional<Page> parse_page(std::string body, std::string& cause) {
  Document document;
  Page page;
  if (!parse(document, body, cause) || !header(document, page.header, cause) ||
      !json::page(document, page, cause)) {
    return std::nullopt;
  }
  return page;
}

std::optional<WatchLine> parse_line(std::string body, std::string& cause) {
  Document document;
  WatchLine line;
  if (!parse(document, body, cause)) return std::nullopt;
  const Json* const result = find(document, "result");
  if (result == nullptr || !result->IsObject()) {
    const Json* const error = find(document, "error");
    cause = error == nullptr ? "there is no result" : "the watch failed";
    const Json* const message = error != nullptr && error->IsObject() ? find(*error, "message") : nullptr;
    if (message != nullptr && message->IsString()) cause += std::string(": ") + message->GetString();
    return std::nullopt;
  }
  if (!header(*result, line.header, cause) || !flag(*result, "created", line.created, cause) ||
      !flag(*result, "canceled", line.canceled, cause) || !flag(*result, "fragment", line.fragment, cause) ||
      !number(*result, "compact_revision", line.compacted, cause)) {
    return std::nullopt;
  }
  const Json* const reason = find(*result, "cancel_reason");
  if (reason != nullptr && reason->IsString()) line.reason = reason->GetString();
  bool bad = false;
  const Json* const events = array(*result, "events", bad);
  if (bad) return cause = "events is not a list", std::nullopt;
  if (events == nullptr) return line;
  line.events.resize(events->Size());
  for (rapidjson::SizeType n = 0; n < events->Size(); ++n) {
    const Json& event = (*events)[n];
    const Json* const kv = event.IsObject() ? find(event, "kv") : nullptr;
    if (kv == nullptr) return cause = "an event has no key", std::nullopt;
    if (!item(*kv, line.events[n].item, cause)) return std::nullopt;
    // An event without a type is a put: the mapping leaves out default values.
    const Json* const type = find(event, "type");
    if (type == nullptr) continue;
    const std::string_view word = type->IsString() ? type->GetString() : "?";
    if (word != "DELETE" && word != "PUT") return cause = "an event of an unknown type", std::nullopt;
    line.events[n].deleted = word == "DELETE";
  }
  return line;
}

bool says_compacted(std::string_view error) {
  return error.find("has been compacted") != std::string_view::npos;
}

std::optional<Member> parse_member(std::string_view host, std::string value, std::string& cause) {
  Document document;
  if (host.empty()) return cause = "a key has no host", std::nullopt;
  if (!parse(document, value, cause)) return std::nullopt;
  Member member;
  member.host = host;
  const auto string_field = [&](const char* name, std::string& out, bool needed) {
    const Json* const found = find(document, name);
    if (found == nullptr && !needed) return true;
    if (found == nullptr || !found->IsString()) return cause = std::string(name) + " is missing", false;
    out.assign(found->GetString(), found->GetStringLength());
    return true;
  };
  const auto number_field = [&](const char* name, double min, double max, double& out) {
    const Json* const found = find(document, name);
    if (found == nullptr) return true;
    if (!found->IsNumber() || !(found->GetDouble() >= min && found->GetDouble() <= max)) {
      return cause = std::string(name) + " is out of range", false;
    }
    out = found->GetDouble();
    return true;
  };
  double cell = 0;
  const bool read = string_field("dial", member.dial, true) && string_field("health", member.health, true) &&
                    string_field("site", member.site, false) && number_field("block", 0, kMaxCell, cell) &&
                    number_field("share", 1e-6, kMaxSize, member.size) &&
                    number_field("born_ms", 0, 1e15, member.started);
  if (!read) return std::nullopt;
  if (cell != std::floor(cell)) return cause = "block is not a whole number", std::nullopt;
  member.cell = static_cast<int>(cell);
  return member;
}

std::string member_value(const Member& member) {
  rapidjson::StringBuffer buffer;
  Writer out(buffer);
  out.StartObject();
  text(out, "dial", member.dial);
  text(out, "health", member.health);
  if (!member.site.empty()) text(out, "site", member.site);
  out.Key("block");
  out.Int(member.cell);
  out.Key("share");
  out.Double(member.size);
  out.Key("born_ms");
  out.Double(member.started);
  out.EndObject();
  return buffer.GetString();
}

}  // namespace shorelead::membership::registry
