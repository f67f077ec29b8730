#include "membership/registry/messages.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <array>
#include <charconv>
#include <cmath>

namespace shorelead::membership::registry {
namespace {

using Json = rapidjson::Value;
using Document = rapidjson::Document;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr double kMostSize = 1e6;
constexpr int kMostCell = 1000000;

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

// Without recursion, so that nesting costs no stack.
bool parse(Document& document, std::string& text, std::string& cause) {
  document.ParseInsitu<rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag>(text.data());
  if (document.HasParseError()) {
    cause = "broken JSON at byte " + std::to_string(document.GetErrorOffset()) + ": " +
            rapidjson::GetParseError_En(document.GetParseError());
    return false;
  }
  if (!document.IsObject()) cause = "what came is no JSON object";
  return document.IsObject();
}

const Json* find(const Json& object, const char* name) {
  const auto it = object.FindMember(name);
  return it == object.MemberEnd() ? nullptr : &it->value;
}

// 64 bits: as a decimal string, as the mapping has it, or as a number; 0 where there is none.
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
  cause = std::string(name) + " is no whole number";
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
    cause = "a key is no object";
    return false;
  }
  return bytes(object, "key", out.key, cause) && bytes(object, "value", out.value, cause) &&
         number(object, "mod_revision", out.revision, cause);
}

const Json* array(const Json& object, const char* name, bool& bad) {
  const Json* const found = find(object, name);
  bad = found != nullptr && !found->IsArray();
  return bad ? nullptr : found;
}

void text(Writer& out, const char* key, const std::string& value) {
  out.Key(key);
  out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

}  // namespace

std::string base64(std::string_view bytes) {
  std::string out;
  out.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    std::uint32_t three = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      three = three << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += n + k <= bytes.size() ? kDigits[three >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return out;
}

std::optional<std::string> from_base64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  std::string out;
  out.reserve(text.size() / 4 * 3);
  for (std::size_t n = 0; n < text.size(); n += 4) {
    std::uint32_t three = 0;
    std::size_t filled = 0;
    for (std::size_t k = 0; k < 4; ++k) {
      const char c = text[n + k];
      const std::size_t digit = kDigits.find(c);
      if (c == '=' && n + 4 == text.size() && k >= 2 && (k == 3 || text[n + 3] == '=')) {
        three <<= 6;
        ++filled;
        continue;
      }
      if (digit == std::string_view::npos || filled > 0) return std::nullopt;
      three = three << 6 | static_cast<std::uint32_t>(digit);
    }
    for (std::size_t k = 0; k + filled < 3; ++k) out += static_cast<char>(three >> (16 - 8 * k) & 255U);
  }
  return out;
}

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
      !flag(document, "more", page.more, cause) || !number(document, "count", page.count, cause)) {
    return std::nullopt;
  }
  bool bad = false;
  const Json* const items = array(document, "kvs", bad);
  if (bad) return cause = "kvs is no list", std::nullopt;
  if (items != nullptr) {
    page.items.resize(items->Size());
    for (rapidjson::SizeType n = 0; n < items->Size(); ++n) {
      if (!item((*items)[n], page.items[n], cause)) return std::nullopt;
    }
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
  if (bad) return cause = "events is no list", std::nullopt;
  if (events == nullptr) return line;
  line.events.resize(events->Size());
  for (rapidjson::SizeType n = 0; n < events->Size(); ++n) {
    const Json& event = (*events)[n];
    const Json* const kv = event.IsObject() ? find(event, "kv") : nullptr;
    if (kv == nullptr) return cause = "an event has no key", std::nullopt;
    if (!item(*kv, line.events[n].item, cause)) return std::nullopt;
    // An event without a type is a put: the mapping leaves out what has its first value.
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
  if (host.empty()) return cause = "a key without a host", std::nullopt;
  if (!parse(document, value, cause)) return std::nullopt;
  Member member;
  member.host = host;
  const auto word = [&](const char* name, std::string& out, bool needed) {
    const Json* const found = find(document, name);
    if (found == nullptr && !needed) return true;
    if (found == nullptr || !found->IsString()) return cause = std::string(name) + " is not told", false;
    out.assign(found->GetString(), found->GetStringLength());
    return true;
  };
  const auto figure = [&](const char* name, double least, double most, double& out) {
    const Json* const found = find(document, name);
    if (found == nullptr) return true;
    if (!found->IsNumber() || !(found->GetDouble() >= least && found->GetDouble() <= most)) {
      return cause = std::string(name) + " is out of its bounds", false;
    }
    out = found->GetDouble();
    return true;
  };
  double cell = 0;
  const bool read = word("dial", member.dial, true) && word("health", member.health, true) &&
                    word("site", member.site, false) && figure("block", 0, kMostCell, cell) &&
                    figure("share", 1e-6, kMostSize, member.size) && figure("born_ms", 0, 1e15, member.born);
  if (!read) return std::nullopt;
  if (cell != std::floor(cell)) return cause = "block is no whole number", std::nullopt;
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
  out.Double(member.born);
  out.EndObject();
  return buffer.GetString();
}

}  // namespace shorelead::membership::registry
