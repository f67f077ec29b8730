#include "lab/summary.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <stdexcept>
#include <unordered_map>

#include "lab/histogram.h"

namespace shorelead::lab {
namespace {

constexpr int kMoments = 60;

Quantiles quantiles(const LatencyHistogram& histogram) {
  return {histogram.quantile(0.5), histogram.quantile(0.9), histogram.quantile(0.99),
          histogram.quantile(0.999), histogram.count()};
}

bool served(const Asked& asked) {
  return asked.end == ClientEnd::kAnswered && asked.status == 200 && asked.right_body;
}

struct Tally {
  Service service;
  LatencyHistogram latency;

  void note(const Asked& last, Millis intended, int tries, std::size_t attempts, const ClassRules& rules) {
    ++service.wishes;
    service.tries += static_cast<std::size_t>(tries);
    service.attempts += attempts;
    if (last.end == ClientEnd::kLeft) {
      ++service.left;
      return;
    }
    service.worth_asked += rules.worth;
    if (served(last)) {
      const Millis took = last.ended - intended;
      latency.note(took);
      const bool in_aim = took <= rules.aim;
      ++(in_aim ? service.in_aim : service.late);
      if (in_aim) service.worth += rules.worth;
    } else if (last.end == ClientEnd::kAnswered) {
      ++(last.status == 429 || last.status == 503 ? service.refused : service.failed);
    } else if (last.end == ClientEnd::kNoConnection) {
      ++service.unreached;
    } else {
      ++service.lost;
    }
  }

  Service finish(std::string name) {
    service.name = std::move(name);
    service.latency = quantiles(latency);
    return service;
  }
};

void judge(Summary& summary, const Run& run, const Experiment& experiment, const Judging& judging) {
  const auto late = [&](const char* who, Millis p99, Millis worst) {
    if (p99 <= judging.late_p99 && worst <= judging.late_worst) return;
    char text[160];
    std::snprintf(text, sizeof text, "the lab itself was late: %s by %.1f ms at p99 and %.1f ms at worst",
                  who, p99, worst);
    summary.reasons.emplace_back(text);
  };
  late("clients", run.load_late_p99, run.load_late);
  late("stand-ins", run.fleet_late_p99, run.fleet_late);
  if (!summary.reasons.empty()) {
    summary.verdict = "void";
    return;
  }
  for (const auto& [breach, count] : summary.audit.counts) {
    summary.reasons.push_back(std::string("rule ") + rule_of(breach) + " broken: " + name_of(breach) + ", " +
                              std::to_string(count) + (count == 1 ? " time" : " times"));
  }
  for (const NodeFigure& node : summary.nodes) {
    if (node.crashes > 0)
      summary.reasons.push_back("node n" + std::to_string(node.node) + " ended by itself");
  }
  for (const auto& [kind, counts] : summary.bad_clients) {
    if (counts.first < counts.second) {
      summary.reasons.push_back("bad clients (" + kind + ") left with neither an error nor an end: " +
                                std::to_string(counts.second - counts.first));
    }
  }
  if (!summary.reasons.empty()) {
    summary.verdict = experiment.must.rules ? "broken" : "kept";
    return;
  }
  const auto want = [&summary](bool reached, const std::string& what) {
    if (!reached) summary.reasons.push_back(what);
  };
  if (experiment.must.served) {
    want(summary.all.share_served() >= *experiment.must.served,
         "served " + std::to_string(summary.all.share_served()) + ", wanted " +
             std::to_string(*experiment.must.served));
  }
  if (experiment.must.p99) {
    want(summary.all.latency.p99 <= *experiment.must.p99, "p99 " + std::to_string(summary.all.latency.p99) +
                                                              " ms, wanted " +
                                                              std::to_string(*experiment.must.p99));
  }
  summary.verdict = summary.reasons.empty() ? "kept" : "missed";
}

}  // namespace

Summary summarize(const Run& run, const Experiment& experiment, const Judging& judging) {
  Summary summary;
  summary.experiment = experiment.name;
  summary.seed = experiment.seed;
  summary.length = run.ended - run.began;
  std::unordered_map<std::string, std::size_t> attempts_by_id;
  for (const Arrived& arrived : run.arrived) attempts_by_id[arrived.id] += arrived.last_byte > 0;

  // Wishes: their tries in the order in which they were made.
  std::vector<std::vector<const Asked*>> wishes;
  for (const Asked& asked : run.asked) {
    if (asked.chain >= wishes.size()) wishes.resize(asked.chain + 1);
    wishes[asked.chain].push_back(&asked);
  }
  const Millis slice = std::max(1.0, experiment.load.span / kMoments);
  std::vector<LatencyHistogram> slices(kMoments);
  summary.moments.resize(kMoments);
  for (int n = 0; n < kMoments; ++n) summary.moments[static_cast<std::size_t>(n)].at = n * slice;
  std::vector<Tally> tallies(run.classes.size());
  Tally all;
  for (const auto& tries : wishes) {
    if (tries.empty()) continue;
    const Asked& first = *tries.front();
    const Asked& last = *tries.back();
    std::size_t attempts = 0;
    for (const Asked* const asked : tries) {
      const auto it = attempts_by_id.find(asked->id);
      if (it != attempts_by_id.end()) attempts += it->second;
    }
    const auto kind = static_cast<std::size_t>(first.request_class);
    const ClassRules& rules = run.classes[kind];
    const int count = static_cast<int>(tries.size());
    tallies[kind].note(last, first.intended, count, attempts, rules);
    all.note(last, first.intended, count, attempts, rules);
    const auto n = static_cast<std::size_t>(
        std::clamp(static_cast<int>((first.intended - run.began) / slice), 0, kMoments - 1));
    Moment& moment = summary.moments[n];
    ++moment.wishes;
    moment.attempts += attempts;
    if (served(last)) {
      ++moment.served;
      slices[n].note(last.ended - first.intended);
    }
  }
  for (std::size_t n = 0; n < slices.size(); ++n) {
    summary.moments[n].p50 = slices[n].quantile(0.5);
    summary.moments[n].p99 = slices[n].quantile(0.99);
  }
  for (std::size_t n = 0; n < tallies.size(); ++n)
    summary.classes.push_back(tallies[n].finish(run.classes[n].name));
  summary.all = all.finish("all");
  summary.rate =
      experiment.load.span > 0 ? static_cast<double>(summary.all.wishes) / experiment.load.span * 1000 : 0;

  for (const BoxNote& box : run.boxes) summary.boxes.push_back({box.host, 0, 0, 0, 0});
  for (const Arrived& arrived : run.arrived) {
    BoxFigure& box = summary.boxes.at(static_cast<std::size_t>(arrived.box));
    ++box.attempts;
    box.ran += arrived.began > 0;
    box.turned_away += arrived.end == BoxEnd::kRejected;
    box.lost += arrived.end == BoxEnd::kDropped || arrived.end == BoxEnd::kSpoilt ||
                arrived.end == BoxEnd::kSwallowed;
    ++summary.box_ends[name_of(arrived.end)];
    summary.repeats_by_key += arrived.repeat;
  }
  for (int node = 0; node < run.node_count; ++node) {
    NodeFigure figure;
    figure.node = node;
    double cpu_first = -1;
    double cpu_last = 0;
    double cpu = 0;
    for (const NodeSample& sample : run.samples) {
      if (sample.node != node || sample.at < run.began) continue;
      if (figure.memory_kb_first == 0 && sample.at >= run.began + 1000)
        figure.memory_kb_first = sample.memory_kb;
      figure.memory_kb_most = std::max(figure.memory_kb_most, sample.memory_kb);
      figure.memory_kb_last = sample.memory_kb;
      figure.descriptors_most = std::max(figure.descriptors_most, sample.descriptors);
      if (cpu_first < 0 || sample.cpu_ms < cpu_last) {  // first, or a new process
        if (cpu_first >= 0) cpu += cpu_last - cpu_first;
        cpu_first = sample.cpu_ms;
      }
      cpu_last = sample.cpu_ms;
    }
    if (cpu_first >= 0) cpu += cpu_last - cpu_first;
    std::size_t requests = 0;
    for (const Asked& asked : run.asked) requests += asked.node == node && asked.sent > 0;
    figure.cpu_ms_per_request = requests > 0 ? cpu / static_cast<double>(requests) : 0;
    bool asked = false;
    for (const NodeEvent& event : run.nodes) {
      if (event.node != node) continue;
      figure.starts += event.what == NodeDid::kStarted;
      if (event.what == NodeDid::kStarted) asked = false;
      if (event.what == NodeDid::kTerminated || event.what == NodeDid::kKilled) asked = true;
      if (event.what == NodeDid::kExited && !asked && event.at <= run.ended) ++figure.crashes;
    }
    summary.nodes.push_back(figure);
  }
  for (NodeSample sample : run.samples) {
    sample.at -= run.began;
    if (sample.at >= 0) summary.samples.push_back(sample);
  }
  for (const Mark& mark : run.marks) summary.marks.push_back({mark.at - run.began, mark.text});
  std::sort(summary.marks.begin(), summary.marks.end(),
            [](const Mark& a, const Mark& b) { return a.at < b.at; });
  for (const BadClient& bad : run.bad_clients) {
    auto& [settled, count] = summary.bad_clients[bad.kind];
    settled += bad.settled;
    ++count;
  }
  summary.audit = audit(run, judging.limits);
  summary.together = together(run);
  summary.load_late = run.load_late;
  summary.load_late_p99 = run.load_late_p99;
  summary.fleet_late = run.fleet_late;
  summary.fleet_late_p99 = run.fleet_late_p99;
  summary.bad_at_boxes = run.bad_requests;
  judge(summary, run, experiment, judging);
  return summary;
}

}  // namespace shorelead::lab
