#include "lab/report.h"

#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <cmath>

namespace shorelead::lab {
namespace {

using Writer = rapidjson::PrettyWriter<rapidjson::StringBuffer>;

void put(Writer& out, const char* key, const std::string& value) {
  out.Key(key);
  out.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
}
void put(Writer& out, const char* key, double value) {
  out.Key(key);
  out.Double(std::isfinite(value) ? value : 0);
}
void put(Writer& out, const char* key, std::size_t value) {
  out.Key(key);
  out.Uint64(value);
}

void write_service(Writer& out, const Service& service) {
  out.StartObject();
  put(out, "name", service.name);
  put(out, "wishes", service.wishes);
  put(out, "in_aim", service.in_aim);
  put(out, "late", service.late);
  put(out, "refused", service.refused);
  put(out, "failed", service.failed);
  put(out, "lost", service.lost);
  put(out, "unreached", service.unreached);
  put(out, "left", service.left);
  put(out, "tries", service.tries);
  put(out, "attempts", service.attempts);
  put(out, "worth", service.worth);
  put(out, "worth_asked", service.worth_asked);
  put(out, "p50_ms", service.latency.p50);
  put(out, "p90_ms", service.latency.p90);
  put(out, "p99_ms", service.latency.p99);
  put(out, "p999_ms", service.latency.p999);
  out.EndObject();
}

void write_audit(Writer& out, const Audit& audit) {
  out.Key("audit");
  out.StartObject();
  put(out, "lost_with_node", static_cast<std::size_t>(audit.lost_with_node));
  put(out, "lost_in_pause", static_cast<std::size_t>(audit.lost_in_pause));
  put(out, "unknown_at_boxes", static_cast<std::size_t>(audit.unknown_at_boxes));
  put(out, "worst_drain_ms", audit.worst_drain);
  out.Key("breaches");
  out.StartObject();
  for (const auto& [breach, count] : audit.counts) put(out, name_of(breach), static_cast<std::size_t>(count));
  out.EndObject();
  out.Key("findings");
  out.StartArray();
  for (const Finding& finding : audit.findings) {
    out.StartObject();
    put(out, "rule", rule_of(finding.breach));
    put(out, "breach", name_of(finding.breach));
    put(out, "request", finding.request);
    put(out, "evidence", finding.evidence);
    out.EndObject();
  }
  out.EndArray();
  out.EndObject();
}

void write_together(Writer& out, const Together& together) {
  out.Key("together");
  out.StartObject();
  out.Key("budgets");
  out.StartArray();
  for (const BudgetUse& use : together.budgets) {
    out.StartObject();
    put(out, "name", use.name);
    put(out, "seconds_bound", static_cast<std::size_t>(use.seconds));
    put(out, "used_mean", use.mean);
    put(out, "used_least", use.least);
    out.EndObject();
  }
  out.EndArray();
  out.Key("ranks");
  out.StartArray();
  for (const RankFare& rank : together.ranks) {
    out.StartObject();
    put(out, "rank", static_cast<std::size_t>(rank.rank));
    put(out, "offered", rank.offered);
    put(out, "taken", rank.taken);
    put(out, "in_aim", rank.in_aim);
    out.EndObject();
  }
  out.EndArray();
  out.Key("affinities");
  out.StartArray();
  for (const KeyMoves& keys : together.keys) {
    out.StartObject();
    put(out, "name", keys.name);
    put(out, "keys", keys.keys);
    put(out, "sends", keys.sends);
    put(out, "moves", keys.moves);
    put(out, "warm", keys.warm);
    put(out, "met", keys.met);
    put(out, "longest_gap_ms", keys.longest_gap);
    put(out, "fullest", keys.fullest);
    out.EndObject();
  }
  out.EndArray();
  out.EndObject();
}

void write_run(Writer& out, const Summary& run) {
  out.StartObject();
  put(out, "seed", static_cast<std::size_t>(run.seed));
  put(out, "verdict", run.verdict);
  out.Key("reasons");
  out.StartArray();
  for (const std::string& reason : run.reasons) out.String(reason.c_str());
  out.EndArray();
  put(out, "length_ms", run.length);
  put(out, "rate_per_s", run.rate);
  out.Key("figures");
  out.StartObject();
  for (const std::string& name : figure_names()) put(out, name.c_str(), figure(run, name));
  out.EndObject();
  out.Key("service");
  out.StartArray();
  write_service(out, run.all);
  for (const Service& service : run.classes) write_service(out, service);
  out.EndArray();
  write_audit(out, run.audit);
  write_together(out, run.together);
  out.Key("lab");
  out.StartObject();
  put(out, "clients_late_p99_ms", run.load_late_p99);
  put(out, "clients_late_worst_ms", run.load_late);
  put(out, "stand_ins_late_p99_ms", run.fleet_late_p99);
  put(out, "stand_ins_late_worst_ms", run.fleet_late);
  put(out, "latency_relative_error", 0.005);
  out.EndObject();
  out.Key("moments");
  out.StartArray();
  for (const Moment& moment : run.moments) {
    out.StartObject();
    put(out, "at_ms", moment.at);
    put(out, "wishes", moment.wishes);
    put(out, "served", moment.served);
    put(out, "p50_ms", moment.p50);
    put(out, "p99_ms", moment.p99);
    put(out, "attempts", moment.attempts);
    out.EndObject();
  }
  out.EndArray();
  out.Key("boxes");
  out.StartArray();
  for (const BoxFigure& box : run.boxes) {
    out.StartObject();
    put(out, "host", box.host);
    put(out, "attempts", box.attempts);
    put(out, "ran", box.ran);
    put(out, "turned_away", box.turned_away);
    put(out, "lost", box.lost);
    out.EndObject();
  }
  out.EndArray();
  out.Key("attempts_by_end");
  out.StartObject();
  for (const auto& [end, count] : run.box_ends) put(out, end.c_str(), count);
  out.EndObject();
  out.Key("nodes");
  out.StartArray();
  for (const NodeFigure& node : run.nodes) {
    out.StartObject();
    put(out, "node", static_cast<std::size_t>(node.node));
    put(out, "memory_kb_first", node.memory_kb_first);
    put(out, "memory_kb_most", node.memory_kb_most);
    put(out, "memory_kb_last", node.memory_kb_last);
    put(out, "descriptors_most", static_cast<std::size_t>(node.descriptors_most));
    put(out, "cpu_ms_per_request", node.cpu_ms_per_request);
    put(out, "starts", static_cast<std::size_t>(node.starts));
    put(out, "crashes", static_cast<std::size_t>(node.crashes));
    out.EndObject();
  }
  out.EndArray();
  out.Key("bad_clients");
  out.StartObject();
  for (const auto& [kind, counts] : run.bad_clients) {
    out.Key(kind.c_str());
    out.StartObject();
    put(out, "settled", counts.first);
    put(out, "all", counts.second);
    out.EndObject();
  }
  out.EndObject();
  out.Key("events");
  out.StartArray();
  for (const Mark& mark : run.marks) {
    out.StartObject();
    put(out, "at_ms", mark.at);
    put(out, "what", mark.text);
    out.EndObject();
  }
  out.EndArray();
  out.EndObject();
}

}  // namespace

std::string to_json(const std::vector<Summary>& runs) {
  rapidjson::StringBuffer buffer;
  Writer out(buffer);
  out.SetIndent(' ', 1);
  out.SetMaxDecimalPlaces(6);
  out.StartObject();
  put(out, "schema", kSchema);
  put(out, "experiment", runs.empty() ? "" : runs.front().experiment);
  put(out, "note", "boxes, discovery and clients are stand-ins on loopback");
  out.Key("runs");
  out.StartArray();
  for (const Summary& run : runs) write_run(out, run);
  out.EndArray();
  out.EndObject();
  return std::string(buffer.GetString()) + "\n";
}

}  // namespace shorelead::lab
