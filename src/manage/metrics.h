// The metrics that the admin server shows: the request counters and their text format. Pure. Each request is
// in exactly one state, so ended() is called once for each. Values that other parts count are passed in as
// gauges when the metrics are read.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace shorelead::manage {

enum class RequestEnd { kPassed, kDropped, kBadGateway, kLeft };  // kLeft: the client closed the connection

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

  // Adds a class with zero counts. Its counts remain when a later configuration removes the class.
  void name_class(const std::string& name) { classes_[name]; }
  void taken(const std::string& name) { ++classes_[name].in_progress; }
  void ended(const std::string& name, RequestEnd end);

  const std::map<std::string, Counts>& classes() const { return classes_; }
  Counts all() const;

 private:
  std::map<std::string, Counts> classes_;
};

struct Gauges {
  std::uint64_t upstream_tries = 0;  // attempts that were sent completely
  std::uint64_t known_backends = 0;
  std::uint64_t skipped_backends = 0;
  std::uint64_t loads = 0;
  std::uint64_t load_errors = 0;
  std::uint64_t rule_violations = 0;  // from the rule checker
};

std::string metrics_text(const RequestCounters& counters, const Gauges& gauges);

}  // namespace shorelead::manage
