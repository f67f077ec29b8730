// The metrics that the admin server shows. Pure: it owns the request counters, where each is in exactly one
// state at any moment, and the text of the metrics. It must never be told of one ending twice, nor count what
// others count already: gauges are handed in when they are read.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace shorelead::manage {

enum class RequestEnd { kPassed, kDropped, kBadGateway, kLeft };  // kLeft: its client had gone

class RequestCounters {
 public:
  struct Counts {
    std::uint64_t passed = 0;
    std::uint64_t dropped = 0;
    std::uint64_t bad_gateway = 0;
    std::uint64_t left = 0;
    std::uint64_t in_progress = 0;

    std::uint64_t taken() const { return passed + dropped + bad_gateway + left + in_progress; }
  };

  // A class appears with the configuration that names it, and keeps its counts when one drops it.
  void name_class(const std::string& name) { classes_[name]; }
  void taken(const std::string& name) { ++classes_[name].in_progress; }
  void ended(const std::string& name, RequestEnd end);

  const std::map<std::string, Counts>& classes() const { return classes_; }
  Counts all() const;

 private:
  std::map<std::string, Counts> classes_;
};

struct Gauges {
  std::uint64_t upstream_tries = 0;  // attempts written whole
  std::uint64_t known_backends = 0;
  std::uint64_t skipped_backends = 0;
  std::uint64_t loads = 0;
  std::uint64_t load_errors = 0;
  std::uint64_t rule_violations = 0;  // counted by the checker of the rules
};

std::string metrics_text(const RequestCounters& counters, const Gauges& gauges);

}  // namespace shorelead::manage
