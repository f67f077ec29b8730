// A plan as JSON. Names of budgets and backends are written once, in tables. A member's shares are a list in
// the order of the budgets, a map's slots a list of backend indexes, their epochs are run-length encoded.
#include <algorithm>
#include <set>

#include "fleet/json.h"
#include "fleet/plan.h"

namespace shorelead::fleet {
namespace {

using json::Reader;
using json::Value;
using json::Writer;

constexpr std::size_t kMaxSlots = 65536;
constexpr std::uint64_t kMaxRank = 1U << 30;

using Names = std::vector<std::string>;  // sorted

void names(Writer& w, const char* key, const Names& values) {
  w.Key(key);
  w.StartArray();
  for (const std::string& v : values) json::text(w, v);
  w.EndArray();
}

unsigned index(const Names& all, const std::string& name) {
  return static_cast<unsigned>(std::lower_bound(all.begin(), all.end(), name) - all.begin());
}

// An open slot is fully described by its backend; the closed ones are listed again with their next owner.
void write(Writer& w, const SlotMap& map) {
  std::set<std::string> backends;
  for (const Slot& s : map.slots) {
    backends.insert(s.backend);
    if (!s.open) backends.insert(s.to);
  }
  const Names all(backends.begin(), backends.end());
  w.StartObject();
  w.Key("boxes");
  w.Uint64(map.backends);
  names(w, "names", all);
  w.Key("slots");
  w.StartArray();
  for (const Slot& s : map.slots) w.Uint(index(all, s.backend));
  w.EndArray();
  w.Key("closed");  // pairs of slot and next owner
  w.StartArray();
  for (unsigned n = 0; n < map.slots.size(); ++n) {
    if (map.slots[n].open) continue;
    w.Uint(n);
    w.Uint(index(all, map.slots[n].to));
  }
  w.EndArray();
  w.Key("since");  // pairs of epoch and number of slots
  w.StartArray();
  for (std::size_t n = 0; n < map.slots.size();) {
    std::size_t to = n;
    while (to < map.slots.size() && map.slots[to].since == map.slots[n].since) ++to;
    w.Uint64(map.slots[n].since);
    w.Uint64(to - n);
    n = to;
  }
  w.EndArray();
  w.EndObject();
}

SlotMap read_map(Reader& r, const Value& value) {
  SlotMap out;
  const Value& map = r.object(value, "a rule's map");
  out.backends = r.count(map, "boxes", json::kNoLimit);
  Names all;
  for (const Value& v : r.array(r.field(map, "names"), "names").GetArray()) all.push_back(r.text(v, "a box"));
  const auto backend = [&](const Value& v) {
    const std::uint64_t n = r.whole(v, "a slot's box", kMaxSlots);
    if (n >= all.size()) r.fail("a slot's box has no name");
    return r.ok() ? all[n] : "";
  };
  const Value& slots = r.array(r.field(map, "slots"), "slots");
  const std::size_t size = slots.Size();
  if (size > kMaxSlots) r.fail("more than 65536 slots");
  if ((size & (size - 1)) != 0) r.fail("the number of slots is not a power of two");
  for (const Value& v : slots.GetArray()) {
    if (!r.ok()) return {};
    out.slots.push_back({backend(v), true, "", 0});
  }
  const Value& closed = r.array(r.field(map, "closed"), "closed");
  const Value& since = r.array(r.field(map, "since"), "since");
  if (closed.Size() % 2 != 0 || since.Size() % 2 != 0) r.fail("a pair is incomplete");
  for (unsigned n = 0; r.ok() && n < closed.Size(); n += 2) {
    const std::uint64_t slot = r.whole(closed[n], "a closed slot", kMaxSlots);
    const std::string to = backend(closed[n + 1]);
    if (slot >= size || (r.ok() && !out.slots[slot].open))
      r.fail("a closed slot does not exist or is listed twice");
    if (r.ok()) out.slots[slot].open = false, out.slots[slot].to = to;
  }
  std::size_t at = 0;
  for (unsigned n = 0; r.ok() && n < since.Size(); n += 2) {
    const std::uint64_t epoch = r.whole(since[n], "a slot's epoch", json::kMaxCount);
    const std::size_t run = r.whole(since[n + 1], "a run of slots", kMaxSlots);
    if (run > size - at) r.fail("epochs for more slots than there are");
    for (std::size_t k = 0; r.ok() && k < run; ++k) out.slots[at++].since = epoch;
  }
  if (at != size) r.fail("epochs for fewer slots than there are");
  return out;
}

}  // namespace

std::string text_of(const Plan& plan) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  std::set<std::string> budgets;
  for (const auto& [member, parts] : plan.shares) {
    for (const auto& [budget, part] : parts) budgets.insert(budget);
  }
  const Names all(budgets.begin(), budgets.end());
  w.StartObject();
  w.Key("form");
  w.Int(kFormatVersion);
  w.Key("epoch");
  w.Uint64(plan.epoch);
  w.Key("fence");
  w.Uint64(plan.fence);
  w.Key("history");
  w.Uint64(plan.history);
  w.Key("wholes");
  w.StartObject();
  for (const auto& [budget, part] : plan.wholes) {
    json::name(w, budget);
    json::part(w, part);
  }
  w.EndObject();
  names(w, "budgets", all);
  w.Key("shares");
  w.StartObject();
  for (const auto& [member, parts] : plan.shares) {
    json::name(w, member);
    w.StartArray();
    for (const std::string& budget : all) {
      const auto it = parts.find(budget);
      it == parts.end() ? static_cast<void>(w.Null()) : json::part(w, it->second);
    }
    w.EndArray();
  }
  w.EndObject();
  w.Key("cut_off");
  w.StartArray();
  w.Int(plan.cut_off.rank);
  json::figure(w, plan.cut_off.share);
  w.EndArray();
  w.Key("affinity");
  w.StartObject();
  for (const auto& [rule, map] : plan.affinity) {
    json::name(w, rule);
    write(w, map);
  }
  w.EndObject();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<Plan> parse_plan(std::string_view text, std::string& cause) {
  Reader r(cause);
  rapidjson::Document document;
  const Value& root = r.root(document, text);
  Plan out;
  out.epoch = r.count(root, "epoch");
  out.fence = r.count(root, "fence");
  out.history = r.count(root, "history", json::kNoLimit);
  r.map(r.field(root, "wholes"), "wholes", json::kMaxNameLength, out.wholes,
        [&](const Value& v) { return r.part(v, "a whole"); });
  Names all;
  for (const Value& v : r.array(r.field(root, "budgets"), "budgets").GetArray())
    all.push_back(r.text(v, "a budget"));
  r.map(r.field(root, "shares"), "shares", json::kMaxMemberIdLength, out.shares, [&](const Value& v) {
    Parts parts;
    const Value& list = r.array(v, "a member's shares");
    if (list.Size() != all.size()) r.fail("a member does not have as many shares as there are budgets");
    for (unsigned n = 0; r.ok() && n < list.Size(); ++n) {
      if (list[n].IsNull()) continue;
      if (!parts.emplace(all[n], r.part(list[n], "a share")).second) r.fail("a budget is listed twice");
    }
    return parts;
  });
  const Value& cut_off = r.array(r.field(root, "cut_off"), "cut_off");
  if (cut_off.Size() != 2) r.fail("cut_off does not have two values");
  if (r.ok()) {
    out.cut_off.rank = static_cast<int>(r.whole(cut_off[0], "the cut-off's rank", kMaxRank));
    out.cut_off.share = r.figure(cut_off[1], "the cut-off's share");
  }
  r.map(r.field(root, "affinity"), "affinity", json::kMaxNameLength, out.affinity,
        [&](const Value& v) { return read_map(r, v); });
  if (!r.ok()) return std::nullopt;
  return out;
}

}  // namespace shorelead::fleet
