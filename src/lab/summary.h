// What a run comes to: service, latencies, attempts, boxes, nodes, over time and in all, with the auditor's
// word. Pure: from the run's record alone. Owns the one form that the table, the JSON and the page are
// written from; it must never leave out what speaks against the node.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "lab/audit.h"
#include "lab/experiment.h"
#include "lab/records.h"
#include "lab/together.h"

namespace shorelead::lab {

struct Quantiles {
  Millis p50 = 0;
  Millis p90 = 0;
  Millis p99 = 0;
  Millis p999 = 0;
  std::size_t count = 0;
};

// Wishes by how they came out in the end, over all tries of their client.
struct Service {
  std::string name;
  std::size_t wishes = 0;
  std::size_t in_aim = 0;
  std::size_t late = 0;  // served after the aim
  std::size_t refused = 0;
  std::size_t failed = 0;     // any other answer
  std::size_t lost = 0;       // cut, reset or silent
  std::size_t unreached = 0;  // no node took the connection
  std::size_t left = 0;       // the client's own choice: not counted in shares
  std::size_t tries = 0;      // by clients
  std::size_t attempts = 0;   // by nodes
  double worth = 0;           // earned
  double worth_asked = 0;
  Quantiles latency;  // of what was served, from the intended sending time
  std::size_t counted() const { return wishes - left; }
  double share_in_aim() const {
    return counted() == 0 ? 0 : static_cast<double>(in_aim) / static_cast<double>(counted());
  }
  double share_served() const {
    return counted() == 0 ? 0 : static_cast<double>(in_aim + late) / static_cast<double>(counted());
  }
};

struct Moment {  // a slice of time, by intended sending
  Millis at = 0;
  std::size_t wishes = 0;
  std::size_t served = 0;
  Millis p50 = 0;
  Millis p99 = 0;
  std::size_t attempts = 0;
};

struct BoxFigure {
  std::string host;
  std::size_t attempts = 0;
  std::size_t ran = 0;
  std::size_t turned_away = 0;
  std::size_t lost = 0;  // dropped, spoilt or swallowed
};

struct NodeFigure {
  int node = 0;
  double memory_kb_first = 0;  // a second after the start of the load
  double memory_kb_most = 0;
  double memory_kb_last = 0;
  int descriptors_most = 0;
  double cpu_ms_per_request = 0;
  int starts = 0;
  int crashes = 0;
};

struct Summary {
  std::string experiment;
  std::uint64_t seed = 0;
  std::string
      verdict;  // "kept", "broken", "void", "missed" (the rules held, but a wanted figure was not reached)
  std::vector<std::string> reasons;
  Millis length = 0;
  double rate = 0;  // wishes a second
  Service all;
  std::vector<Service> classes;
  std::vector<Moment> moments;
  std::vector<BoxFigure> boxes;
  std::vector<NodeFigure> nodes;
  std::vector<NodeSample> samples;  // `at` after the start
  std::vector<Mark> marks;          // `at` after the start
  std::map<std::string, std::size_t> box_ends;
  std::map<std::string, std::pair<std::size_t, std::size_t>> bad_clients;  // by kind: settled, all
  Audit audit;
  Together together;
  Millis load_late_p99 = 0;
  Millis load_late = 0;
  Millis fleet_late_p99 = 0;
  Millis fleet_late = 0;
  std::size_t repeats_by_key = 0;  // boxes knew the key
  std::size_t bad_at_boxes = 0;
};

struct Judging {
  AuditLimits limits;
  // A lab later than this is itself the bottleneck: the run says nothing.
  Millis late_p99 = 10;
  Millis late_worst = 150;
};

Summary summarize(const Run& run, const Experiment& experiment, const Judging& judging);

// A figure by name, as `compare`, `sweep` and goals use it; throws std::runtime_error for one that does not
// exist.
double figure(const Summary& summary, const std::string& name);
const std::vector<std::string>& figure_names();

}  // namespace shorelead::lab
