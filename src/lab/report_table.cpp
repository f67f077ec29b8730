// The table on the terminal.
#include <cstdio>
#include <ostream>

#include "lab/report.h"

namespace shorelead::lab {
namespace {

void line(std::ostream& out, const char* format, auto... values) {
  char text[256];
  std::snprintf(text, sizeof text, format, values...);
  out << text << "\n";
}

double per_cent(std::size_t part, std::size_t whole) {
  return whole == 0 ? 0 : 100 * static_cast<double>(part) / static_cast<double>(whole);
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
  for (const BudgetUse& use : run.together.budgets) {
    line(out, "  budget %s: bound in %d s, of its whole used %.2f on average, %.2f in the least second",
         use.name.c_str(), use.seconds, use.mean, use.least);
  }
  for (const RankFare& rank : run.together.ranks) {
    line(out, "  rank %d: offered %zu, taken %.2f%%, in aim %.2f%%", rank.rank, rank.offered,
         per_cent(rank.taken, rank.offered), per_cent(rank.in_aim, rank.offered));
  }
  for (const KeyMoves& keys : run.together.keys) {
    line(out,
         "  affinity %s: %zu keys, %zu sends, %zu moves, longest without a box %.0f ms, warm %.1f%%, fullest "
         "%.2f",
         keys.name.c_str(), keys.keys, keys.sends, keys.moves, keys.longest_gap,
         per_cent(keys.warm, keys.met), keys.fullest);
  }
  line(out,
       "  lost with a killed node (allowed): %d, with a paused one: %d; longest from drain to send: %.1f ms",
       run.audit.lost_with_node, run.audit.lost_in_pause, run.audit.worst_drain);
  line(out, "  the lab's own lateness: clients %.2f ms at p99, %.1f at worst; stand-ins %.2f and %.1f",
       run.load_late_p99, run.load_late, run.fleet_late_p99, run.fleet_late);
  for (const Finding& finding : run.audit.findings) {
    out << "  rule " << rule_of(finding.breach) << ", " << name_of(finding.breach) << ": "
        << (finding.request.empty() ? "" : "request " + finding.request + " ") << finding.evidence << "\n";
  }
}

}  // namespace shorelead::lab
