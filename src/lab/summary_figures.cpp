// A summary's figures by name.
#include <functional>
#include <stdexcept>

#include "lab/summary.h"

namespace shorelead::lab {
namespace {

const std::vector<std::pair<std::string, std::function<double(const Summary&)>>>& figures() {
  static const std::vector<std::pair<std::string, std::function<double(const Summary&)>>> kFigures{
      {"served", [](const Summary& s) { return s.all.share_served(); }},
      {"in_aim", [](const Summary& s) { return s.all.share_in_aim(); }},
      {"worth", [](const Summary& s) { return s.all.worth_asked > 0 ? s.all.worth / s.all.worth_asked : 0; }},
      {"p50", [](const Summary& s) { return s.all.latency.p50; }},
      {"p90", [](const Summary& s) { return s.all.latency.p90; }},
      {"p99", [](const Summary& s) { return s.all.latency.p99; }},
      {"p999", [](const Summary& s) { return s.all.latency.p999; }},
      {"attempts",
       [](const Summary& s) {
         return s.all.tries > 0 ? static_cast<double>(s.all.attempts) / static_cast<double>(s.all.tries) : 0;
       }},
      {"refused",
       [](const Summary& s) {
         return s.all.counted() > 0
                    ? static_cast<double>(s.all.refused) / static_cast<double>(s.all.counted())
                    : 0;
       }},
      {"breaches",
       [](const Summary& s) {
         double count = 0;
         for (const auto& [breach, n] : s.audit.counts) count += n;
         return count;
       }},
      {"cpu_ms_per_request",
       [](const Summary& s) {
         double sum = 0;
         for (const NodeFigure& node : s.nodes) sum += node.cpu_ms_per_request;
         return s.nodes.empty() ? 0 : sum / static_cast<double>(s.nodes.size());
       }},
      {"memory_mb",
       [](const Summary& s) {
         double most = 0;
         for (const NodeFigure& node : s.nodes) most = std::max(most, node.memory_kb_most);
         return most / 1024;
       }},
  };
  return kFigures;
}

}  // namespace

double figure(const Summary& summary, const std::string& name) {
  for (const auto& [known, read] : figures()) {
    if (known == name) return read(summary);
  }
  std::string all;
  for (const std::string& known : figure_names()) all += (all.empty() ? "" : ", ") + known;
  throw std::runtime_error("there is no figure \"" + name + "\"; there are " + all);
}

const std::vector<std::string>& figure_names() {
  static const std::vector<std::string> kNames = [] {
    std::vector<std::string> names;
    for (const auto& [name, read] : figures()) names.push_back(name);
    return names;
  }();
  return kNames;
}

}  // namespace shorelead::lab
