#include "node/migrate.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <algorithm>

#include "node/config.h"
#include "settings/fields.h"

namespace shorelead::node {
namespace {

using rapidjson::Document;
using rapidjson::Value;

constexpr char kLoopback[] = "127.0.0.1";

std::string place_of(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, std::min(offset, text.size()));
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const std::size_t start = before.rfind('\n');
  const std::size_t column = before.size() - (start == std::string_view::npos ? 0 : start + 1) + 1;
  return std::to_string(line) + ":" + std::to_string(column);
}

std::string to_json(const Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

class Migrator {
 public:
  Migrator(Document& document, Migration& out) : document_(document), migration_(out) {}

  void run(const MigrationOptions& options) {
    for (const char* const name : {"listen", "mgmt"}) bind_to_loopback(name);
    // First, as removing a member moves others and so invalidates references to them.
    remove(document_, "", "known", "it lists the boxes of the old fleet; the node starts with an empty list");
    Value& settings = document_["settings"];
    set(child(settings, "Report"), "settings.Report.", "Source", text("probe"));
    set(child(settings, "Allowed"), "settings.Allowed.", "PeerMessages", Value(true));
    set(settings, "settings.", "RegistryMode", text("automatic"));
    remove(child(settings, "Invariants"), "settings.Invariants.", "AskEvery",
           "lists are pushed by discovery, so none is requested");
    set_number(
        settings, "Instances", options.nodes, 1,
        "give --nodes: how many client processes have a node (the slow-start budget is divided by it)");
    set_number(settings, "Me", options.index, 0, "give --index: which of them this node is, from 0");
    if (document_.HasMember("limits"))
      add_remaining_step("limits", "kept: set what a node beside a client process may use");
    add_remaining_step("seed", "kept: give each node its own seed, or all of them probe at the same times");
    const Value& allowed = settings["Allowed"];
    if (!allowed.HasMember("CpuUsPerS"))
      add_remaining_step("settings.Allowed.CpuUsPerS", "missing: what a node may use");
    if (!child(settings, "Report").HasMember("Fields"))
      add_remaining_step("settings.Report.Fields", "missing: the fields that boxes report to probes");
  }

 private:
  Document::AllocatorType& allocator() { return document_.GetAllocator(); }
  Value text(const std::string& value) { return Value(value.c_str(), allocator()); }

  Value& child(Value& object, const char* name) {
    if (!object.HasMember(name))
      object.AddMember(Value(name, allocator()), Value(rapidjson::kObjectType), allocator());
    if (!object[name].IsObject()) fields::bad(name, "is not an object");
    return object[name];
  }

  void set(Value& object, const std::string& path, const char* name, Value value) {
    const bool exists = object.HasMember(name);
    if (exists && object[name] == value) return;
    migration_.changed.push_back(path + name + ": " + (exists ? to_json(object[name]) : "(new)") + " -> " +
                                 to_json(value));
    if (exists) {
      object[name] = value;
    } else {
      object.AddMember(Value(name, allocator()), value, allocator());
    }
  }

  void remove(Value& object, const std::string& path, const char* name, const char* step) {
    if (object.EraseMember(name)) add_remaining_step(path + name, step);
  }

  void add_remaining_step(const std::string& key, const std::string& step) {
    migration_.remaining_steps.push_back(key + ": " + step);
  }

  void set_number(Value& settings, const char* name, const std::optional<int>& value, int min,
                  const char* step) {
    if (!value) return add_remaining_step(std::string("settings.") + name, step);
    if (*value < min) fields::bad(name, "is below its minimum");
    set(settings, "settings.", name, Value(*value));
  }

  // Only the client on the same machine reaches the node.
  void bind_to_loopback(const char* name) {
    if (!document_.HasMember(name)) return;
    const std::string address(fields::text(document_, name));
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) fields::bad(name, "is not an address with a port");
    set(document_, "", name, text(kLoopback + address.substr(colon)));
  }

  Document& document_;
  Migration& migration_;
};

bool has_new_shape(const Document& document) {
  const Value& settings = document["settings"];
  const Json* const report = fields::find(settings, "Report");
  const Json* const allowed = fields::find(settings, "Allowed");
  const auto is = [](const Json* object, const char* name, const Value& value) {
    const Json* const found = object != nullptr && object->IsObject() ? fields::find(*object, name) : nullptr;
    return found != nullptr && *found == value;
  };
  return is(report, "Source", Value("probe")) && is(allowed, "PeerMessages", Value(true));
}

}  // namespace

Migration migrate(std::string_view text, const std::string& file, const MigrationOptions& options) {
  Document document;
  document.Parse(text.data(), text.size());
  if (document.HasParseError()) {
    throw FieldError(file + ":" + place_of(text, document.GetErrorOffset()) + ": " +
                     rapidjson::GetParseError_En(document.GetParseError()));
  }
  Migration out;
  try {
    parse_config(std::string(text), {});  // rejects input that a node would not start with
    if (has_new_shape(document)) {
      out.already_migrated = true;
      return out;
    }
    if (options.nodes && options.index && *options.index >= *options.nodes)
      throw FieldError("--index must be from 0 to --nodes - 1");
    Migrator(document, out).run(options);
    rapidjson::StringBuffer buffer;
    rapidjson::PrettyWriter<rapidjson::StringBuffer> writer(buffer);
    writer.SetIndent(' ', 2);
    document.Accept(writer);
    out.text = std::string(buffer.GetString(), buffer.GetSize()) + "\n";
    parse_config(out.text, {});
  } catch (const FieldError& error) {
    throw FieldError(file + ": " + error.what());
  }
  return out;
}

}  // namespace shorelead::node
