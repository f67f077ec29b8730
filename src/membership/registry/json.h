// Parsing of a registry's JSON: the fields of etcd v3's mapping, each accepted or rejected with its cause.
// Pure, private to this folder. A field of another type is an error, not a missing field.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string>

#include "membership/registry/messages.h"

namespace shorelead::membership::registry::json {

using Json = rapidjson::Value;
using Document = rapidjson::Document;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// Parses in place and without recursion, so that nesting costs no stack. Returns an object, or false and the
// cause.
bool parse(Document& document, std::string& text, std::string& cause);

const Json* find(const Json& object, const char* name);
// 64 bits: as a decimal string, as in the mapping, or as a number; 0 if missing.
bool number(const Json& object, const char* name, std::uint64_t& value, std::string& cause);
bool flag(const Json& object, const char* name, bool& value, std::string& cause);
bool header(const Json& object, Header& out, std::string& cause);
bool bytes(const Json& object, const char* name, std::string& out, std::string& cause);
bool item(const Json& object, KeyValue& out, std::string& cause);
// The keys of a range; its header is parsed by the caller, who knows where it is.
bool page(const Json& object, Page& out, std::string& cause);
const Json* array(const Json& object, const char* name, bool& bad);

void text(Writer& out, const char* key, const std::string& value);

}  // namespace shorelead::membership::registry::json
