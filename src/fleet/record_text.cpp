// A record as JSON.
#include "fleet/json.h"
#include "fleet/plan.h"

namespace shorelead::fleet {
namespace {

using json::Reader;
using json::Value;
using json::Writer;

constexpr std::uint64_t kMaxRank = 1U << 30;

void figures(Writer& w, const char* name, const std::map<std::string, double>& values) {
  w.Key(name);
  w.StartObject();
  for (const auto& [budget, value] : values) {
    json::name(w, budget);
    json::figure(w, value);
  }
  w.EndObject();
}

}  // namespace

std::string text_of(const Record& record) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  w.Key("form");
  w.Int(kFormatVersion);
  w.Key("name");
  json::text(w, record.id.name);
  w.Key("incarnation");
  w.Uint64(record.id.incarnation);
  w.Key("zone");
  json::text(w, record.zone);
  w.Key("weight");
  json::figure(w, record.weight);
  w.Key("epoch");
  w.Uint64(record.epoch);
  w.Key("in_force");
  w.StartObject();
  for (const auto& [budget, part] : record.in_force) {
    json::name(w, budget);
    json::part(w, part);
  }
  w.EndObject();
  figures(w, "demand", record.demand);
  figures(w, "spent", record.spent);
  w.Key("ranks");
  w.StartArray();
  for (const auto& [rank, load] : record.ranks) {
    w.StartArray();
    w.Int(rank);
    for (const double v : {load.offered, load.taken, load.in_time, load.refused, load.failed})
      json::figure(w, v);
    w.EndArray();
  }
  w.EndArray();
  w.Key("room");
  json::figure(w, record.room);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<Record> parse_record(std::string_view text, std::string& cause) {
  Reader r(cause);
  rapidjson::Document document;
  const Value& root = r.root(document, text);
  Record out;
  out.id = {r.text(r.field(root, "name"), "name"), r.count(root, "incarnation", json::kNoLimit)};
  out.zone = r.text(r.field(root, "zone"), "zone");
  out.weight = r.figure(r.field(root, "weight"), "weight");
  out.epoch = r.count(root, "epoch");
  r.map(r.field(root, "in_force"), "in_force", json::kMaxNameLength, out.in_force,
        [&](const Value& v) { return r.part(v, "in_force"); });
  r.map(r.field(root, "demand"), "demand", json::kMaxNameLength, out.demand,
        [&](const Value& v) { return r.figure(v, "demand"); });
  r.map(r.field(root, "spent"), "spent", json::kMaxNameLength, out.spent,
        [&](const Value& v) { return r.figure(v, "spent"); });
  for (const Value& load : r.array(r.field(root, "ranks"), "ranks").GetArray()) {
    if (r.array(load, "rank").Size() != 6) r.fail("a rank does not have six values");
    if (!r.ok()) break;
    RankLoad to;
    double* const figures[] = {&to.offered, &to.taken, &to.in_time, &to.refused, &to.failed};
    for (unsigned n = 0; n < 5; ++n) *figures[n] = r.figure(load[n + 1], "a rank's figure");
    if (!out.ranks.emplace(static_cast<int>(r.whole(load[0], "rank", kMaxRank)), to).second) {
      r.fail("a rank is listed twice");
    }
  }
  out.room = r.figure(r.field(root, "room"), "room");
  if (!r.ok()) return std::nullopt;
  return out;
}

}  // namespace shorelead::fleet
