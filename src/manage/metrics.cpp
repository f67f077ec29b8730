#include "manage/metrics.h"

#include <string_view>

namespace shorelead::manage {

void RequestCounters::ended(const std::string& name, RequestEnd end) {
  Counts& counts = classes_[name];
  --counts.in_progress;
  switch (end) {
    case RequestEnd::kPassed:
      ++counts.passed;
      break;
    case RequestEnd::kDropped:
      ++counts.dropped;
      break;
    case RequestEnd::kBadGateway:
      ++counts.bad_gateway;
      break;
    case RequestEnd::kLeft:
      ++counts.left;
      break;
  }
}

RequestCounters::Counts RequestCounters::all() const {
  Counts sum;
  for (const auto& [name, counts] : classes_) {
    sum.passed += counts.passed;
    sum.dropped += counts.dropped;
    sum.bad_gateway += counts.bad_gateway;
    sum.left += counts.left;
    sum.in_progress += counts.in_progress;
  }
  return sum;
}

std::string metrics_text(const RequestCounters& counters, const Gauges& gauges) {
  std::string text;
  const auto line = [&text](const std::string& name, std::uint64_t value, const char* kind) {
    text.append("node.")
        .append(name)
        .append(":")
        .append(std::to_string(value))
        .append("|")
        .append(kind)
        .append("\n");
  };
  for (const auto& [name, counts] : counters.classes()) {
    line("handled." + name + ".passed", counts.passed, "c");
    line("handled." + name + ".dropped", counts.dropped, "c");
    line("handled." + name + ".bad_gateway", counts.bad_gateway, "c");
  }
  line("upstream_tries", gauges.upstream_tries, "c");
  line("loads", gauges.loads, "c");
  line("load_errors", gauges.load_errors, "c");
  line("rule_violations", gauges.rule_violations, "c");
  line("in_progress", counters.all().in_progress, "g");
  line("known_backends", gauges.known_backends, "g");
  line("skipped_backends", gauges.skipped_backends, "g");
  return text;
}

}  // namespace shorelead::manage
