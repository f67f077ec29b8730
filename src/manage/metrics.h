// The figures that the door shows. Pure: it owns the ledger of requests, where each is in exactly one state
// at any moment, and the text of the figures. It must never be told of one ending twice, nor count what
// others count already: gauges are handed in when they are read.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace shorelead::manage {

enum class End { kPassed, kDropped, kBadGateway, kLeft };  // kLeft: its client had gone

class Ledger {
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
  void ended(const std::string& name, End end);

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

std::string figures_text(const Ledger& ledger, const Gauges& gauges);

}  // namespace shorelead::manage
