// A run's record by request, box and node, as every judge looks at it: who was asked what, which attempts
// came of it, when a process ran, stood still or was gone. Pure. Owns the indexes only; it must never judge,
// nor read anything but the record.
#pragma once

#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/audit.h"
#include "lab/records.h"

namespace shorelead::lab {

using Attempts = std::vector<const Arrived*>;  // in order of their first bytes

struct Span {
  Millis from = 0;
  Millis to = 0;
};

class RunView {
 public:
  RunView(const Run& run, const AuditLimits& limits);

  const Run& run;
  const AuditLimits limits;

  const Attempts& attempts(const std::string& id) const;
  const Asked* asked(const std::string& id) const;  // null: no client made it
  const Arrived* by_serial(std::uint64_t serial) const;
  const ClassRules& rules_of(const Asked& asked) const;

  // For evidence.
  std::string at(Millis time) const;
  std::string host(int box) const;
  std::string attempt(const Arrived& arrived) const;

  // The request was with its process when that was killed.
  bool lost_with_node(const Asked& asked) const;
  // The process was killed in that span, give or take the slack.
  bool killed_within(int node, Millis from, Millis to) const;
  // Its process stood still at its due time.
  bool paused_past_due(const Asked& asked) const;
  // How much of a span the process stood still.
  Millis paused_within(int node, Millis from, Millis to) const;
  // The process can have done nothing between `time` and this: it stood still, or had not started.
  Millis awake(int node, Millis time) const;
  // When the process that ran then was started; far back where the record has no start.
  Millis started(int node, Millis time) const;
  // Idle clients held its descriptors.
  bool crowded(int node, Millis time) const;
  // It had been asked to end by then.
  bool ending(int node, Millis time) const;

  // In work for sure: from the first byte at a box until the box had let the answer go, or had seen the
  // sender's end, which that may have done by the slack before. On a link that passes nothing no end is seen.
  Span in_work(const Arrived& arrived) const;

  bool in_scope(const Asked& asked, const Scope& scope) const;  // but for the pool
  bool in_pool(const Arrived& arrived, const Scope& scope) const;
  int unit_of(const Arrived& arrived, Unit unit) const;

 private:
  std::unordered_map<std::string, Attempts> attempts_;
  std::unordered_map<std::string, const Asked*> asked_;
  std::unordered_map<std::uint64_t, const Arrived*> by_serial_;
  std::map<int, std::vector<Millis>> starts_;
  std::map<int, std::vector<Millis>> kills_;
  std::map<int, std::vector<Millis>> ends_;  // asked to end
  std::map<int, std::vector<Span>> pauses_;
};

// Where findings go: the first few of each breach, and the count of all.
class Findings {
 public:
  explicit Findings(Audit& audit) : audit_(audit) {}
  void add(Breach breach, const std::string& request, Millis at, std::string evidence);

 private:
  Audit& audit_;
};

// The judges, one file each. They add to the audit's findings and figures.
void judge_answer(const RunView& view, const Asked& asked, Audit& audit);    // rule 1
void judge_attempts(const RunView& view, const Asked& asked, Audit& audit);  // rule 2
void judge_boxes(const RunView& view, Audit& audit);                         // rules 3 and 4
void judge_budgets(const RunView& view, Audit& audit);                       // F1
void judge_order(const RunView& view, Audit& audit);                         // F2
void judge_keys(const RunView& view, Audit& audit);                          // F3

}  // namespace shorelead::lab
