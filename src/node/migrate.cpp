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

std::string shown(const Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

class Translator {
 public:
  Translator(Document& document, Migration& out) : document_(document), out_(out) {}

  void run(const NewShape& shape) {
    for (const char* const name : {"listen", "mgmt"}) bind_to_loopback(name);
    // Before anything is held of the document: members move up when one goes.
    drop(document_, "", "known", "it names the old fleet's boxes; the node starts with an empty list");
    Value& settings = document_["settings"];
    set(child(settings, "Report"), "settings.Report.", "Source", text("probe"));
    set(child(settings, "Allowed"), "settings.Allowed.", "PeerMessages", Value(true));
    set(settings, "settings.", "RegistryMode", text("automatic"));
    drop(child(settings, "Invariants"), "settings.Invariants.", "AskEvery",
         "lists come by themselves, so none is asked for");
    number(settings, "Instances", shape.nodes, 1,
           "give --nodes: how many client processes have a node (the cold boxes' budget is parted by it)");
    number(settings, "Me", shape.index, 0, "give --index: which of them this node is, from 0");
    if (document_.HasMember("limits"))
      leave("limits", "kept as they were: say what a node beside a client process may use");
    leave("seed", "kept: give each node a seed of its own, or they probe in step");
    const Value& allowed = settings["Allowed"];
    if (!allowed.HasMember("CpuUsPerS")) leave("settings.Allowed.CpuUsPerS", "not told: what a node may use");
    if (!child(settings, "Report").HasMember("Fields"))
      leave("settings.Report.Fields", "not told: the figures that boxes report to probes");
  }

 private:
  Document::AllocatorType& pool() { return document_.GetAllocator(); }
  Value text(const std::string& words) { return Value(words.c_str(), pool()); }

  Value& child(Value& object, const char* name) {
    if (!object.HasMember(name)) object.AddMember(Value(name, pool()), Value(rapidjson::kObjectType), pool());
    if (!object[name].IsObject()) fields::bad(name, "is not an object");
    return object[name];
  }

  void set(Value& object, const std::string& path, const char* name, Value value) {
    const bool there = object.HasMember(name);
    if (there && object[name] == value) return;
    out_.changed.push_back(path + name + ": " + (there ? shown(object[name]) : "(new)") + " -> " +
                           shown(value));
    if (there) {
      object[name] = value;
    } else {
      object.AddMember(Value(name, pool()), value, pool());
    }
  }

  void drop(Value& object, const std::string& path, const char* name, const char* why) {
    if (object.EraseMember(name)) leave(path + name, why);
  }

  void leave(const std::string& key, const std::string& why) { out_.left.push_back(key + ": " + why); }

  void number(Value& settings, const char* name, const std::optional<int>& told, int least, const char* why) {
    if (!told) return leave(std::string("settings.") + name, why);
    if (*told < least) fields::bad(name, "is less than it can be");
    set(settings, "settings.", name, Value(*told));
  }

  // A node beside its client is reached by that client alone.
  void bind_to_loopback(const char* name) {
    if (!document_.HasMember(name)) return;
    const std::string old(fields::text(document_, name));
    const std::size_t colon = old.rfind(':');
    if (colon == std::string::npos) fields::bad(name, "is not an address with a port");
    set(document_, "", name, text(kLoopback + old.substr(colon)));
  }

  Document& document_;
  Migration& out_;
};

bool of_new_shape(const Document& document) {
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

Migration migrate(std::string_view text, const std::string& file, const NewShape& shape) {
  Document document;
  document.Parse(text.data(), text.size());
  if (document.HasParseError()) {
    throw FieldError(file + ":" + place_of(text, document.GetErrorOffset()) + ": " +
                     rapidjson::GetParseError_En(document.GetParseError()));
  }
  Migration out;
  try {
    parse_config(std::string(text), {});  // what a node would not start from is not translated either
    if (of_new_shape(document)) {
      out.already = true;
      return out;
    }
    if (shape.nodes && shape.index && *shape.index >= *shape.nodes)
      throw FieldError("--index is counted from 0, below --nodes");
    Translator(document, out).run(shape);
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
