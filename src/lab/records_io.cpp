#include "lab/records_io.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <stdexcept>
#include <type_traits>

namespace shorelead::lab {
namespace {

constexpr const char* kRecords = "shorelead-lab-records/5";

// Each shape names its fields once, for writing and reading alike; `io` is the writer or the reader.
void fields(auto& io, auto& v, ClassRules*) {
  io("name", v.name), io("effect", v.effect), io("group", v.group), io("window", v.window), io("aim", v.aim);
  io("give_up", v.give_up), io("worth", v.worth);
}
void fields(auto& io, auto& v, BoxNote*) {
  io("host", v.host), io("zone", v.zone), io("cell", v.cell), io("born", v.born), io("pool", v.pool);
}
void fields(auto& io, auto& v, Scope*) {
  io("classes", v.classes), io("tenants", v.tenants), io("pool", v.pool);
}
void fields(auto& io, auto& v, BudgetRule*) {
  io("name", v.name), io("kind", v.kind), io("whole", v.whole), io("burst", v.burst), io("ratio", v.ratio);
  io("window", v.window), io("scope", v.scope);
}
void fields(auto& io, auto& v, RankRule*) { io("rank", v.rank), io("floor", v.floor), io("scope", v.scope); }
void fields(auto& io, auto& v, KeyRule*) {
  io("name", v.name), io("must", v.must), io("tenant", v.tenant), io("to", v.to),
      io("back_after", v.back_after);
  io("scope", v.scope);
}
void fields(auto& io, auto& v, FleetRules*) {
  io("budgets", v.budgets), io("ranks", v.ranks), io("keys", v.keys), io("shed_window", v.shed_window);
  io("shed_share", v.shed_share), io("shed_within", v.shed_within);
}
void fields(auto& io, auto& v, Asked*) {
  io("id", v.id), io("key", v.key), io("tenant", v.tenant), io("basket", v.basket),
      io("class", v.request_class), io("node", v.node), io("intended", v.intended);
  io("sent", v.sent), io("due", v.due), io("ended", v.ended), io("end", v.end), io("status", v.status);
  io("fresh", v.fresh), io("resent", v.resent), io("right_body", v.right_body), io("run", v.run),
      io("extra", v.extra), io("tries_before", v.tries_before);
  io("chain", v.chain), io("said", v.said);
}
void fields(auto& io, auto& v, Arrived*) {
  io("serial", v.serial), io("id", v.id), io("key", v.key), io("class", v.request_class), io("box", v.box);
  io("node", v.node), io("first_byte", v.first_byte), io("last_byte", v.last_byte), io("began", v.began);
  io("answered", v.answered), io("closed", v.closed), io("hidden", v.hidden), io("work", v.work),
      io("warm", v.warm), io("repeat", v.repeat), io("end", v.end);
}
void fields(auto& io, auto& v, Told*) {
  io("node", v.node), io("box", v.box), io("state", v.state), io("at", v.at);
}
void fields(auto& io, auto& v, Changed*) { io("box", v.box), io("state", v.state), io("at", v.at); }
void fields(auto& io, auto& v, ListCall*) {
  io("node", v.node), io("begun", v.begun), io("answered", v.answered), io("silent_since", v.silent_since),
      io("ended_untold", v.ended_untold);
  io("ended", v.ended);
}
void fields(auto& io, auto& v, CrowdSpan*) { io("node", v.node), io("from", v.from), io("to", v.to); }
void fields(auto& io, auto& v, Outage*) { io("from", v.from), io("to", v.to); }
void fields(auto& io, auto& v, NodeEvent*) {
  io("node", v.node), io("what", v.what), io("at", v.at), io("code", v.code);
}
void fields(auto& io, auto& v, Fallen*) {
  io("box", v.box), io("at", v.at), io("span", v.span), io("work", v.work);
}
void fields(auto& io, auto& v, NodeSample*) {
  io("node", v.node), io("at", v.at), io("memory_kb", v.memory_kb), io("descriptors", v.descriptors);
  io("cpu_ms", v.cpu_ms);
}
void fields(auto& io, auto& v, Mark*) { io("at", v.at), io("text", v.text); }
void fields(auto& io, auto& v, BadClient*) {
  io("kind", v.kind), io("began", v.began), io("ended", v.ended), io("status", v.status),
      io("settled", v.settled);
}
void fields(auto& io, auto& v, Run*) {
  io("classes", v.classes), io("boxes", v.boxes), io("fleet", v.fleet), io("asked", v.asked),
      io("arrived", v.arrived), io("told", v.told);
  io("changed", v.changed), io("nodes", v.nodes), io("fallen", v.fallen), io("samples", v.samples),
      io("marks", v.marks);
  io("bad_clients", v.bad_clients), io("began", v.began), io("ended", v.ended),
      io("node_count", v.node_count);
  io("parallel_allowed", v.parallel_allowed), io("most_attempts", v.most_attempts),
      io("drain_grace", v.drain_grace);
  io("load_late", v.load_late), io("load_late_p99", v.load_late_p99), io("fleet_late", v.fleet_late);
  io("fleet_late_p99", v.fleet_late_p99), io("bad_requests", v.bad_requests);
  io("had", v.had), io("list_calls", v.list_calls), io("outages", v.outages), io("crowds", v.crowds);
  io("lists_pushed", v.lists_pushed), io("ask_every", v.ask_every), io("lists_recorded", v.lists_recorded);
}

class Out {
 public:
  explicit Out(rapidjson::Writer<rapidjson::StringBuffer>& out) : out_(out) {}

  template <typename T>
  void operator()(const char* key, const T& value) {
    out_.Key(key);
    put(value);
  }

  template <typename T>
  void put(const T& value) {
    if constexpr (std::is_same_v<T, std::string>) {
      out_.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
    } else if constexpr (std::is_same_v<T, bool>) {
      out_.Bool(value);
    } else if constexpr (std::is_enum_v<T>) {
      out_.Int(static_cast<int>(value));
    } else if constexpr (std::is_floating_point_v<T>) {
      out_.Double(value);
    } else if constexpr (std::is_signed_v<T>) {
      out_.Int64(value);
    } else if constexpr (std::is_unsigned_v<T>) {
      out_.Uint64(value);
    } else if constexpr (requires { value.begin()->second; }) {
      out_.StartObject();
      for (const auto& [key, item] : value) (*this)(std::to_string(key).c_str(), item);
      out_.EndObject();
    } else if constexpr (requires { value.begin(); }) {
      out_.StartArray();
      for (const auto& item : value) put(item);
      out_.EndArray();
    } else {
      out_.StartObject();
      fields(*this, value, static_cast<T*>(nullptr));
      out_.EndObject();
    }
  }

 private:
  rapidjson::Writer<rapidjson::StringBuffer>& out_;
};

class In {
 public:
  explicit In(const rapidjson::Value& object) : object_(object) {}

  template <typename T>
  void operator()(const char* key, T& value) {
    if (!object_.IsObject() || !object_.HasMember(key)) bad(key, "is missing");
    get(key, object_[key], value);
  }

 private:
  [[noreturn]] static void bad(const char* key, const char* what) {
    throw std::runtime_error("field \"" + std::string(key) + "\" " + what);
  }

  template <typename T>
  static void get(const char* key, const rapidjson::Value& from, T& value) {
    if constexpr (std::is_same_v<T, std::string>) {
      if (!from.IsString()) bad(key, "is not a text");
      value.assign(from.GetString(), from.GetStringLength());
    } else if constexpr (std::is_same_v<T, bool>) {
      if (!from.IsBool()) bad(key, "is not true or false");
      value = from.GetBool();
    } else if constexpr (std::is_enum_v<T>) {
      if (!from.IsInt() || from.GetInt() < 0 || from.GetInt() > 16) bad(key, "is none of its values");
      value = static_cast<T>(from.GetInt());
    } else if constexpr (std::is_floating_point_v<T>) {
      if (!from.IsNumber()) bad(key, "is not a number");
      value = static_cast<T>(from.GetDouble());
    } else if constexpr (std::is_signed_v<T>) {
      if (!from.IsInt64()) bad(key, "is not a whole number");
      value = static_cast<T>(from.GetInt64());
    } else if constexpr (std::is_unsigned_v<T>) {
      if (!from.IsUint64()) bad(key, "is not a whole number from 0 up");
      value = static_cast<T>(from.GetUint64());
    } else if constexpr (requires { value.begin()->second; }) {
      if (!from.IsObject()) bad(key, "is not an object");
      for (const auto& member : from.GetObject()) {
        get(key, member.value, value[std::stoi(member.name.GetString())]);
      }
    } else if constexpr (requires { value.begin(); }) {
      if (!from.IsArray()) bad(key, "is not an array");
      for (const auto& item : from.GetArray()) get(key, item, value.emplace_back());
    } else {
      if (!from.IsObject()) bad(key, "holds something that is not an object");
      In inner(from);
      fields(inner, value, static_cast<T*>(nullptr));
    }
  }

  const rapidjson::Value& object_;
};

// What the auditor looks up by number must be there.
void check(const Run& run) {
  const auto within = [](int value, std::size_t count, const char* what) {
    if (value < 0 || static_cast<std::size_t>(value) >= count) {
      throw std::runtime_error(std::string("a record names ") + what + " " + std::to_string(value) + " of " +
                               std::to_string(count));
    }
  };
  const auto scope = [&](const Scope& s) {
    for (const int request_class : s.classes) within(request_class, run.classes.size(), "class");
  };
  for (const BudgetRule& rule : run.fleet.budgets) scope(rule.scope);
  for (const RankRule& rule : run.fleet.ranks) scope(rule.scope);
  for (const KeyRule& rule : run.fleet.keys) scope(rule.scope);
  for (const Asked& asked : run.asked) within(asked.request_class, run.classes.size(), "class");
  for (const Arrived& arrived : run.arrived) {
    within(arrived.request_class, run.classes.size(), "class");
    within(arrived.box, run.boxes.size(), "box");
  }
  for (const Told& told : run.told) within(told.box, run.boxes.size(), "box");
  for (const Fallen& fallen : run.fallen) within(fallen.box, run.boxes.size(), "box");
}

}  // namespace

std::string records_to_json(const Run& run) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  Out out(writer);
  writer.StartObject();
  out("schema", std::string(kRecords));
  writer.Key("run");
  out.put(run);
  writer.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
}

Run records_from_json(const std::string& text) {
  rapidjson::Document document;
  document.Parse(text.c_str(), text.size());
  if (document.HasParseError()) {
    throw std::runtime_error("broken JSON at byte " + std::to_string(document.GetErrorOffset()) + ": " +
                             rapidjson::GetParseError_En(document.GetParseError()));
  }
  In in(document);
  std::string schema;
  in("schema", schema);
  if (schema != kRecords) {
    throw std::runtime_error("the schema is \"" + schema + "\"; this program reads \"" + kRecords + "\"");
  }
  Run run;
  in("run", run);
  check(run);
  return run;
}

}  // namespace shorelead::lab
