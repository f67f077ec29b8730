#include "lab/report.h"

#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <ostream>
#include <sstream>
#include <stdexcept>

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

void line(std::ostream& out, const char* format, auto... values) {
  char text[256];
  std::snprintf(text, sizeof text, format, values...);
  out << text << "\n";
}

}  // namespace

void write_table(std::ostream& out, const Summary& run) {
  out << "\n" << run.experiment << ": " << run.verdict << "\n";
  for (const std::string& reason : run.reasons) out << "  " << reason << "\n";
  line(out, "  %-10s %8s %7s %7s %7s %6s %6s %6s %9s %9s %9s %9s %8s", "class", "wishes", "in aim", "served",
       "refused", "failed", "lost", "left", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "attempts");
  const auto row = [&out](const Service& s) {
    line(out, "  %-10s %8zu %6.2f%% %6.2f%% %7zu %6zu %6zu %6zu %9.1f %9.1f %9.1f %9.1f %8.2f",
         s.name.c_str(), s.wishes, 100 * s.share_in_aim(), 100 * s.share_served(), s.refused, s.failed,
         s.lost + s.unreached, s.left, s.latency.p50, s.latency.p90, s.latency.p99, s.latency.p999,
         s.tries > 0 ? static_cast<double>(s.attempts) / static_cast<double>(s.tries) : 0.0);
  };
  for (const Service& service : run.classes) row(service);
  if (run.classes.size() > 1) row(run.all);
  for (const NodeFigure& node : run.nodes) {
    line(out,
         "  node n%d: memory %.1f -> %.1f MB (most %.1f), descriptors %d, CPU %.3f ms a request, started %d",
         node.node, node.memory_kb_first / 1024, node.memory_kb_last / 1024, node.memory_kb_most / 1024,
         node.descriptors_most, node.cpu_ms_per_request, node.starts);
  }
  out << "  at boxes:";
  for (const auto& [end, count] : run.box_ends) out << " " << end << "=" << count;
  out << " repeats_known=" << run.repeats_by_key << " not_a_client's=" << run.bad_at_boxes << "\n";
  if (!run.bad_clients.empty()) {
    out << "  bad clients settled:";
    for (const auto& [kind, counts] : run.bad_clients)
      out << " " << kind << "=" << counts.first << "/" << counts.second;
    out << "\n";
  }
  line(out,
       "  lost with a killed node (allowed): %d, with a paused one: %d; longest from word of a drain to a "
       "send: "
       "%.1f ms",
       run.audit.lost_with_node, run.audit.lost_in_pause, run.audit.worst_drain);
  line(out, "  the lab's own lateness: clients %.2f ms at p99, %.1f at worst; stand-ins %.2f and %.1f",
       run.load_late_p99, run.load_late, run.fleet_late_p99, run.fleet_late);
  for (const Finding& finding : run.audit.findings) {
    out << "  rule " << rule_of(finding.breach) << ", " << name_of(finding.breach) << ": "
        << (finding.request.empty() ? "" : "request " + finding.request + " ") << finding.evidence << "\n";
  }
}

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

Report read_report(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error(path + ": cannot be read");
  const std::string content = std::move(text).str();
  rapidjson::Document document;
  document.Parse(content.c_str(), content.size());
  if (document.HasParseError()) {
    throw std::runtime_error(path + ": broken JSON at byte " + std::to_string(document.GetErrorOffset()) +
                             ": " + rapidjson::GetParseError_En(document.GetParseError()));
  }
  const auto bad = [&path](const std::string& cause) { throw std::runtime_error(path + ": " + cause); };
  const auto is_text = [&document](const char* key) {
    return document.IsObject() && document.HasMember(key) && document[key].IsString();
  };
  if (!is_text("schema")) bad("is not a report: it names no \"schema\"");
  if (std::string(document["schema"].GetString()) != kSchema) {
    bad("has the schema \"" + std::string(document["schema"].GetString()) + "\"; this program reads \"" +
        kSchema + "\"");
  }
  if (!is_text("experiment")) bad("names no \"experiment\"");
  if (!document.HasMember("runs") || !document["runs"].IsArray()) bad("holds no \"runs\"");
  Report report;
  report.file = path;
  report.experiment = document["experiment"].GetString();
  for (const auto& item : document["runs"].GetArray()) {
    const bool sound = item.IsObject() && item.HasMember("verdict") && item["verdict"].IsString() &&
                       item.HasMember("figures") && item["figures"].IsObject();
    if (!sound) bad("holds a run without \"verdict\" and \"figures\"");
    Report::Run run;
    run.verdict = item["verdict"].GetString();
    for (const auto& member : item["figures"].GetObject()) {
      if (!member.value.IsNumber())
        bad(std::string("figure \"") + member.name.GetString() + "\" is not a number");
      run.figures[member.name.GetString()] = member.value.GetDouble();
    }
    report.runs.push_back(std::move(run));
  }
  return report;
}

namespace {

struct Sample {
  double mean = 0;
  double variance = 0;  // of the mean
  double count = 0;
};

// Runs in which the lab itself was late say nothing.
Sample sample_of(const Report& report, const std::string& name) {
  std::vector<double> values;
  for (const Report::Run& run : report.runs) {
    const auto it = run.figures.find(name);
    if (run.verdict != "void" && it != run.figures.end()) values.push_back(it->second);
  }
  Sample sample;
  sample.count = static_cast<double>(values.size());
  if (values.empty()) return sample;
  for (const double value : values) sample.mean += value / sample.count;
  for (const double value : values) sample.variance += (value - sample.mean) * (value - sample.mean);
  sample.variance = sample.count > 1 ? sample.variance / (sample.count - 1) / sample.count : 0;
  return sample;
}

}  // namespace

std::vector<Difference> compare(const Report& a, const Report& b) {
  std::vector<Difference> differences;
  for (const std::string& name : figure_names()) {
    const Sample one = sample_of(a, name);
    const Sample two = sample_of(b, name);
    if (one.count == 0 || two.count == 0) continue;
    Difference difference;
    difference.figure = name;
    difference.mean_a = one.mean;
    difference.mean_b = two.mean;
    const double gap = two.mean - one.mean;
    difference.low = gap;
    difference.high = gap;
    if (one.count > 1 && two.count > 1) {
      difference.known = true;
      const double variance = one.variance + two.variance;
      if (variance > 0) {
        // Welch-Satterthwaite.
        const double freedom =
            variance * variance /
            (one.variance * one.variance / (one.count - 1) + two.variance * two.variance / (two.count - 1));
        const double reach =
            boost::math::quantile(boost::math::students_t(freedom), 0.975) * std::sqrt(variance);
        difference.low = gap - reach;
        difference.high = gap + reach;
      }
      difference.beyond_noise = difference.low > 0 || difference.high < 0;
    }
    differences.push_back(difference);
  }
  return differences;
}

}  // namespace shorelead::lab
