#include "lab/audit_view.h"

#include <algorithm>
#include <cstdio>

namespace shorelead::lab {
namespace {

constexpr Millis kNever = std::numeric_limits<Millis>::max();

template <typename T, typename Values>
bool has(const Values& values, const T& value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

// The last of these at or before `time`, or `otherwise`.
Millis last_before(const std::map<int, std::vector<Millis>>& of, int node, Millis time, Millis otherwise) {
  const auto it = of.find(node);
  if (it == of.end()) return otherwise;
  for (const Millis at : it->second) {
    if (at <= time) otherwise = std::max(otherwise, at);
  }
  return otherwise;
}

}  // namespace

RunView::RunView(const Run& run, const AuditLimits& limits) : run(run), limits(limits) {
  for (const Arrived& arrived : run.arrived) {
    attempts_[arrived.id].push_back(&arrived);
    by_serial_[arrived.serial] = &arrived;
  }
  for (auto& [id, list] : attempts_) {
    std::sort(list.begin(), list.end(),
              [](const Arrived* a, const Arrived* b) { return a->first_byte < b->first_byte; });
  }
  for (const Asked& asked : run.asked) asked_[asked.id] = &asked;
  for (const NodeEvent& event : run.nodes) {
    auto& pauses = pauses_[event.node];
    const bool still = !pauses.empty() && pauses.back().to == kNever;
    switch (event.what) {
      case NodeDid::kStarted:
        starts_[event.node].push_back(event.at);
        break;
      case NodeDid::kKilled:
        kills_[event.node].push_back(event.at);
        ends_[event.node].push_back(event.at);
        if (still) pauses.back().to = event.at;
        break;
      case NodeDid::kTerminated:
        ends_[event.node].push_back(event.at);
        break;
      case NodeDid::kPaused:
        if (!still) pauses.push_back({event.at, kNever});
        break;
      case NodeDid::kWentOn:
        if (still) pauses.back().to = event.at;
        break;
      default:
        break;
    }
  }
}

const Attempts& RunView::attempts(const std::string& id) const {
  static const Attempts kNone;
  const auto it = attempts_.find(id);
  return it == attempts_.end() ? kNone : it->second;
}

const Asked* RunView::asked(const std::string& id) const {
  const auto it = asked_.find(id);
  return it == asked_.end() ? nullptr : it->second;
}

const Arrived* RunView::by_serial(std::uint64_t serial) const {
  const auto it = by_serial_.find(serial);
  return it == by_serial_.end() ? nullptr : it->second;
}

const ClassRules& RunView::rules_of(const Asked& asked) const {
  return run.classes.at(static_cast<std::size_t>(asked.request_class));
}

std::string RunView::at(Millis time) const {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f ms", time - run.began);
  return text;
}

std::string RunView::host(int box) const {
  return box >= 0 && box < static_cast<int>(run.boxes.size()) ? run.boxes[static_cast<std::size_t>(box)].host
                                                              : "box " + std::to_string(box);
}

std::string RunView::attempt(const Arrived& a) const {
  std::string text = "attempt " + std::to_string(a.serial) + " at " + host(a.box) + " by node " +
                     std::to_string(a.node) + " from " + at(a.first_byte) + ", ";
  text += a.last_byte == 0 ? "never whole" : a.began > 0 ? "ran from " + at(a.began) : "not run";
  return text + ", " + name_of(a.end);
}

bool RunView::lost_with_node(const Asked& asked) const {
  const auto it = kills_.find(asked.node);
  if (it == kills_.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](Millis killed) {
    return asked.sent <= killed + limits.slack && asked.ended >= killed;
  });
}

bool RunView::killed_within(int node, Millis from, Millis to) const {
  const auto it = kills_.find(node);
  if (it == kills_.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](Millis killed) {
    return from <= killed + limits.slack && killed <= to + limits.slack;
  });
}

bool RunView::paused_past_due(const Asked& asked) const {
  const auto it = pauses_.find(asked.node);
  if (it == pauses_.end()) return false;
  return std::any_of(it->second.begin(), it->second.end(), [&](const Span& pause) {
    return pause.from <= asked.due && pause.to >= asked.due - limits.slack;
  });
}

Millis RunView::paused_within(int node, Millis from, Millis to) const {
  const auto it = pauses_.find(node);
  Millis sum = 0;
  if (it == pauses_.end()) return sum;
  for (const Span& pause : it->second) {
    sum += std::max(0.0, std::min(pause.to, to) - std::max(pause.from, from));
  }
  return sum;
}

Millis RunView::awake(int node, Millis time) const {
  if (const auto it = pauses_.find(node); it != pauses_.end()) {
    for (const Span& pause : it->second) {
      if (pause.from <= time && time < pause.to && pause.to < kNever) return pause.to;
    }
  }
  return time;
}

Millis RunView::started(int node, Millis time) const {
  return last_before(starts_, node, time, std::numeric_limits<Millis>::lowest());
}

bool RunView::crowded(int node, Millis time) const {
  return std::any_of(run.crowds.begin(), run.crowds.end(), [&](const CrowdSpan& crowd) {
    return crowd.node == node && crowd.from <= time && time <= crowd.to + limits.slack;
  });
}

bool RunView::ending(int node, Millis time) const {
  const Millis none = std::numeric_limits<Millis>::lowest();
  const Millis end = last_before(ends_, node, time, none);
  return end > none && end >= started(node, time);
}

Span RunView::in_work(const Arrived& a) const {
  Millis to = a.answered > 0 ? a.answered : a.closed > 0 ? a.closed - limits.slack : a.first_byte;
  if (a.answered > 0 && a.closed > 0) to = std::min(to, a.closed - limits.slack);
  if (a.hidden > 0) to = std::min(to, a.hidden - limits.slack);
  return {a.first_byte, std::max(a.first_byte, to)};
}

bool RunView::in_scope(const Asked& asked, const Scope& scope) const {
  return (scope.classes.empty() || has(scope.classes, asked.request_class)) &&
         (scope.tenants.empty() || has(scope.tenants, asked.tenant));
}

bool RunView::in_pool(const Arrived& arrived, const Scope& scope) const {
  return scope.pool < 0 || run.boxes[static_cast<std::size_t>(arrived.box)].pool == scope.pool;
}

int RunView::unit_of(const Arrived& arrived, Unit unit) const {
  const BoxNote& note = run.boxes[static_cast<std::size_t>(arrived.box)];
  return unit == Unit::kBox ? arrived.box : unit == Unit::kCell ? note.cell : note.zone;
}

void Findings::add(Breach breach, const std::string& request, Millis at, std::string evidence) {
  if (++audit_.counts[breach] > Audit::kMostFindings) return;
  audit_.findings.push_back({breach, request, at, std::move(evidence)});
}

}  // namespace shorelead::lab
