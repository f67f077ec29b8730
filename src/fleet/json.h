// JSON helpers of the two documents. The reader keeps the first error as the cause and returns empty values
// after it; a number that is negative, out of range or of another type is an error. The writer writes only
// numbers that the reader accepts.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/encodedstream.h>
#include <rapidjson/error/en.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>

#include "fleet/plan.h"

namespace shorelead::fleet::json {

using Value = rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr double kMaxValue = 1e12;
constexpr std::uint64_t kMaxCount = 1'000'000'000'000'000;  // of epochs and revisions; also exact as a double
constexpr std::uint64_t kNoLimit = UINT64_MAX;
constexpr std::size_t kMaxNameLength = 200;
constexpr std::size_t kMaxMemberIdLength = kMaxNameLength + 21;  // NAME#INCARNATION

// Parses a text into a document. Numbers are parsed by the standard library: RapidJSON's own conversion is
// either inexact or, for 0e111, shifts by an undefined amount.
struct Parser : rapidjson::BaseReaderHandler<rapidjson::UTF8<>, Parser> {
  explicit Parser(std::string_view text) : text(text) {}
  bool operator()(rapidjson::Document& document) {
    to = &document;
    rapidjson::MemoryStream bytes(text.data(), text.size());
    rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream> stream(bytes);
    // Iterative, so that deep nesting uses no stack.
    result =
        rapidjson::Reader().Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseNumbersAsStringsFlag>(
            stream, *this);
    return !result.IsError();
  }
  bool RawNumber(const char* digits, rapidjson::SizeType length, bool) {
    std::uint64_t whole = 0;
    double value = 0;
    const char* const end = digits + length;
    const auto as_whole = std::from_chars(digits, end, whole);
    if (as_whole.ec == std::errc() && as_whole.ptr == end) return to->Uint64(whole);
    const auto read = std::from_chars(digits, end, value);
    return read.ec == std::errc() && read.ptr == end && to->Double(value);
  }
  bool Null() { return to->Null(); }
  bool Bool(bool b) { return to->Bool(b); }
  bool String(const char* s, rapidjson::SizeType n, bool) { return to->String(s, n, true); }
  bool StartObject() { return to->StartObject(); }
  bool Key(const char* s, rapidjson::SizeType n, bool) { return to->Key(s, n, true); }
  bool EndObject(rapidjson::SizeType n) { return to->EndObject(n); }
  bool StartArray() { return to->StartArray(); }
  bool EndArray(rapidjson::SizeType n) { return to->EndArray(n); }

  std::string_view text;
  rapidjson::Document* to = nullptr;
  rapidjson::ParseResult result;
};

class Reader {
 public:
  explicit Reader(std::string& cause) : cause_(cause) { cause_.clear(); }
  bool ok() const { return cause_.empty(); }
  void fail(const std::string& what) {
    if (ok()) cause_ = what.empty() ? "broken" : what;
  }

  // The root object; its format version must be supported.
  const Value& root(rapidjson::Document& document, std::string_view text) {
    if (text.find('\0') != std::string_view::npos) fail("a zero byte");
    Parser parser(text);
    document.Populate(parser);
    if (parser.result.IsError()) {
      fail("broken JSON at byte " + std::to_string(parser.result.Offset()) + ": " +
           rapidjson::GetParseError_En(parser.result.Code()));
    }
    if (ok() && !document.IsObject()) fail("not a JSON object");
    const std::uint64_t form = count(document, "form", kNoLimit);
    if (form > kFormatVersion)
      fail("form " + std::to_string(form) + " is newer than " + std::to_string(kFormatVersion));
    if (form == 0) fail("form 0 is invalid");
    return document;
  }
  const Value& field(const Value& object, const char* name) {
    static const Value kNothing;
    if (!ok()) return kNothing;
    const auto it = object.FindMember(name);
    if (it != object.MemberEnd()) return it->value;
    fail(std::string("there is no ").append(name));
    return kNothing;
  }
  // Empty after an error, also for a field that was not found.
  const Value& array(const Value& value, const char* what) {
    static const Value kEmpty(rapidjson::kArrayType);
    if (ok() && !value.IsArray()) fail(std::string(what).append(" is not a list"));
    return ok() ? value : kEmpty;
  }
  const Value& object(const Value& value, const char* what) {
    static const Value kEmpty(rapidjson::kObjectType);
    if (ok() && !value.IsObject()) fail(std::string(what).append(" is not an object"));
    return ok() ? value : kEmpty;
  }
  double figure(const Value& value, const char* what) {
    if (ok() && !value.IsNumber()) fail(std::string(what).append(" is not a number"));
    const double v = ok() ? value.GetDouble() : 0;
    if (!(v >= 0 && v <= kMaxValue)) fail(std::string(what).append(" is negative or beyond 1e12"));
    return ok() ? v : 0;
  }
  std::uint64_t whole(const Value& value, const char* what, std::uint64_t most) {
    if (ok() && !value.IsUint64()) fail(std::string(what).append(" is not a whole number"));
    const std::uint64_t v = ok() ? value.GetUint64() : 0;
    if (v > most) fail(std::string(what).append(" is beyond ").append(std::to_string(most)));
    return ok() ? v : 0;
  }
  std::uint64_t count(const Value& object, const char* name, std::uint64_t most = kMaxCount) {
    return whole(field(object, name), name, most);
  }
  std::string text(const Value& value, const char* what, std::size_t most = kMaxNameLength) {
    if (ok() && !value.IsString()) fail(std::string(what).append(" is not a string"));
    if (ok() && value.GetStringLength() > most) fail(std::string(what).append(" is too long"));
    return ok() ? std::string(value.GetString(), value.GetStringLength()) : "";
  }
  // A number (the amount), or a list of the amount and the burst.
  Part part(const Value& value, const char* what) {
    if (!ok() || !value.IsArray()) return {figure(value, what), 0};
    if (value.Size() != 2) fail(std::string(what).append(" does not have two values"));
    return ok() ? Part{figure(value[0], what), figure(value[1], what)} : Part{};
  }
  // Reads all members of an object with `read(value)`; a duplicate name is an error.
  template <typename Map, typename Read>
  void map(const Value& value, const char* what, std::size_t most, Map& out, Read read) {
    for (const auto& m : object(value, what).GetObject()) {
      const std::string name = text(m.name, what, most);
      if (!out.emplace(name, read(m.value)).second) fail(std::string(what).append(" has a duplicate name"));
      if (!ok()) return;
    }
  }

 private:
  std::string& cause_;
};

inline void text(Writer& w, std::string_view value) {
  w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
inline void name(Writer& w, std::string_view value) {
  w.Key(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
// A value out of range is written as the nearest bound.
inline void figure(Writer& w, double value) {
  const double v = value >= 0 ? std::min(value, kMaxValue) : 0;
  if (v == std::floor(v)) {
    w.Uint64(static_cast<std::uint64_t>(v));
  } else {
    w.Double(v);
  }
}
inline void part(Writer& w, const Part& p) {
  if (p.burst == 0) return figure(w, p.amount);
  w.StartArray();
  figure(w, p.amount);
  figure(w, p.burst);
  w.EndArray();
}

}  // namespace shorelead::fleet::json
