// Counts a pool's attempts and probes by how they ended, for the log.
#pragma once

#include <spdlog/spdlog.h>

#include <cstdint>
#include <map>
#include <string>

#include "node/counts_text.h"
#include "node/net.h"
#include "node/subset_selection.h"

namespace shorelead::node {

class PoolCounters {
 public:
  void attempt_sent() { ++sent_; }
  void probe_sent() { ++probes_; }
  void attempt_ended(RequestId request, int attempt, Ending ending, Millis elapsed) {
    ++attempt_endings_[ending];
    spdlog::debug("attempt {}.{} {} {:.1f} ms", request, attempt, name_of(ending), elapsed);
  }
  void probe_ended(const std::string& host, Ending ending, Millis elapsed) {
    ++probe_endings_[ending];
    spdlog::debug("probe {} {} {:.1f} ms", host, name_of(ending), elapsed);
  }
  void log(const std::string& prefix) const {
    const auto name = [](Ending ending) { return std::string(name_of(ending)); };
    spdlog::info("counters: {}sent={} attempts {}", prefix, sent_, listed(attempt_endings_, name));
    spdlog::info("counters: {}probes={} {}", prefix, probes_, listed(probe_endings_, name));
  }
  static void log_subset(const std::string& prefix, const SubsetCounters& subset) {
    spdlog::info("counters: {}subset fleet={} members={} lots={} borrowed={} drawings={} changes={}", prefix,
                 subset.fleet, subset.members, subset.lots, subset.borrowed, subset.drawings, subset.changes);
  }

 private:
  std::uint64_t sent_ = 0;
  std::uint64_t probes_ = 0;
  std::map<Ending, std::uint64_t> attempt_endings_;
  std::map<Ending, std::uint64_t> probe_endings_;
};

}  // namespace shorelead::node
